#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pollenway {

/// The latest write of an object, reported by a watch.
struct StoreChange
{
  std::string mKind;
  std::string mName;
  uint64_t mVersion = 0;
  /// Empty if the object was deleted.
  std::optional<std::string> mValue;
};

} // namespace pollenway
