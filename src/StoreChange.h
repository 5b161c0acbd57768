#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace pollenway {

/// The newest write of an object that a watch reports.
struct StoreChange
{
  std::string mKind;
  std::string mName;
  uint64_t mVersion = 0;
  /// Empty if the object was deleted.
  std::optional<std::string> mValue;
};

} // namespace pollenway
