#pragma once

#include "StoreChanges.h"
#include "StoreListing.h"

#include <list>
#include <map>
#include <optional>
#include <string>

namespace pollenway {

/// The objects of one kind with the latest change of each, from which other
/// instances are served instead of from the store. Earlier values of an object
/// are not kept, so the memory does not depend on the number of changes.
class ObjectHistory
{
public:
  /// Maximum number of deletions kept: covers minutes of a rolling release.
  static constexpr size_t kMaxDeletions = 1024;

  /// Replaces all objects by a complete listing. Earlier changes are no longer
  /// available. Ignores a listing of an earlier era.
  void Replace(const StoreListing& aListing);
  /// Removes the changes that the objects already contain: a listing of several
  /// pages has the position of its oldest one, so the watch after it repeats
  /// changes.
  void RemoveCovered(StoreChanges& aChanges) const;
  /// Applies the changes of a watch that continued from `Position()`. Ignores
  /// changes of another era.
  void Append(const StoreChanges& aChanges);

  StorePosition Position() const { return mPosition; }
  StoreListing Listing() const;
  /// Returns the latest change of each object that has changed after `aAfter`,
  /// possibly with earlier ones of the same batch, ordered by version; empty if
  /// they are no longer available or `aAfter` is in another era, and a listing
  /// is needed.
  std::optional<StoreChanges> Since(StorePosition aAfter) const;

private:
  struct Entry
  {
    StoreChange mChange;
    /// Position of the listing or batch that contained the change.
    StorePosition mPosition;
  };
  /// Ordered by position.
  using Entries = std::list<Entry>;

  /// Returns null if there is no such object.
  const StoreChange* Find(const std::string& aName) const;
  void Apply(const StoreChange& aChange, StorePosition aPosition);
  void LimitDeletions();

  StorePosition mPosition;
  /// The changes after this position are available.
  StorePosition mHistoryStart;
  Entries mObjects;
  Entries mDeletions;
  /// The entries of both lists.
  std::map<std::string, Entries::iterator> mByName;
};

} // namespace pollenway
