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

/// Versioned objects of the platform stand-in, without I/O. Each write, also a
/// deletion, takes the next version number, which counts over all objects.
class ObjectTable
{
public:
  static constexpr size_t kMaxValueBytes = 1 << 20;

  struct Object
  {
    uint64_t mVersion = 0;
    std::shared_ptr<const std::string> mValue;
  };

  /// What must hold for a write to take effect.
  struct Condition
  {
    /// The object must not exist.
    bool mAbsent = false;
    /// The object must exist with this version; 0 is any version.
    std::optional<uint64_t> mVersion;
  };

  using Objects = std::map<std::string, Object>;

  /// Keeps the last `aHistory` changes for watches.
  explicit ObjectTable(size_t aHistory = 20'000)
    : mHistoryLimit(aHistory)
  {
  }

  /// Null if there is no such object.
  const Object* Get(const std::string& aKind, const std::string& aName) const;
  /// The objects of a kind by name.
  const Objects& List(const std::string& aKind) const;

  /// Returns the new version. `Conflict` if the condition doesn't hold,
  /// `TooLarge` if the value exceeds `kMaxValueBytes`.
  Result<uint64_t> Put(const std::string& aKind,
                       const std::string& aName,
                       std::string aValue,
                       const Condition& aCondition);
  /// Returns the version of the deletion. `NotFound` or `Conflict`.
  Result<uint64_t> Delete(const std::string& aKind,
                          const std::string& aName,
                          const Condition& aCondition);

  /// Version of the last write.
  uint64_t Revision() const { return mRevision; }

  /// The last change of each object after revision `aAfter`, in the order of
  /// versions; `aKind` empty means all kinds. `NotFound` if the kept history
  /// doesn't reach back to `aAfter`, or `aAfter` is higher than the revision
  /// (the table was restarted with older data).
  Result<std::vector<ObjectChange>> ChangesAfter(
    uint64_t aAfter,
    const std::string& aKind) const;

  /// Takes over a change of another table, for a delayed copy of it.
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
