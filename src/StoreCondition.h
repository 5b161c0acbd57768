#pragma once

#include <cstdint>
#include <optional>

namespace pollenway {

/// Condition that must hold in the store for a write to take effect.
struct StoreCondition
{
  /// The object must not exist.
  bool mAbsent = false;
  /// The object must have this version.
  std::optional<uint64_t> mVersion;

  static StoreCondition Absent()
  {
    StoreCondition condition;
    condition.mAbsent = true;
    return condition;
  }

  static StoreCondition AtVersion(uint64_t aVersion)
  {
    StoreCondition condition;
    condition.mVersion = aVersion;
    return condition;
  }
};

} // namespace pollenway
