#pragma once

#include "ObjectChange.h"
#include "Result.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// Versioned objects of the platform stand-in, without I/O. Each write or
/// deletion gets the next version number of a sequence that all objects share.
class ObjectTable
{
public:
  static constexpr size_t kMaxValueBytes = 1 << 20;

  struct Object
  {
    uint64_t mVersion = 0;
    std::shared_ptr<const std::string> mValue;
  };

  /// Precondition of a write.
  struct Condition
  {
    /// The object must not exist.
    bool mAbsent = false;
    /// The object must exist with this version; 0 means any version.
    std::optional<uint64_t> mVersion;
  };

  using Objects = std::map<std::string, Object>;

  /// Keeps the latest `aHistory` changes for watches.
  explicit ObjectTable(size_t aHistory = 20'000)
    : mHistoryLimit(aHistory)
  {
  }

  /// Returns null if there is no such object.
  const Object* Get(const std::string& aKind, const std::string& aName) const;
  /// Returns the objects of a kind by name.
  const Objects& List(const std::string& aKind) const;

  /// Returns the new version. Errors: `Conflict` if the condition doesn't hold,
  /// `TooLarge` if the value exceeds `kMaxValueBytes`.
  Result<uint64_t> Put(const std::string& aKind,
                       const std::string& aName,
                       std::string aValue,
                       const Condition& aCondition);
  /// Returns the version of the deletion. Errors: `NotFound`, `Conflict`.
  Result<uint64_t> Delete(const std::string& aKind,
                          const std::string& aName,
                          const Condition& aCondition);

  /// Returns the version of the last write.
  uint64_t Revision() const { return mRevision; }

  /// Returns the last change of each object after revision `aAfter`, ordered by
  /// version; an empty `aKind` means all kinds. Fails with `NotFound` if the
  /// history doesn't reach back to `aAfter`, or if `aAfter` is above the
  /// current revision (the table was restarted with older data).
  Result<std::vector<ObjectChange>> ChangesAfter(
    uint64_t aAfter,
    const std::string& aKind) const;

  /// Applies a change of another table, of which this one is a delayed copy.
  void Apply(const ObjectChange& aChange);

private:
  std::optional<Error> Check(const Object* aObject,
                             const Condition& aCondition) const;

  size_t mHistoryLimit;
  uint64_t mRevision = 0;
  std::map<std::string, Objects> mKinds;
  std::deque<ObjectChange> mHistory;
};

} // namespace pollenway
