#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace pollenway {

/// One write to the object table.
struct ObjectChange
{
  uint64_t mVersion = 0;
  std::string mKind;
  std::string mName;
  /// Null if the object was deleted.
  std::shared_ptr<const std::string> mValue;
};

} // namespace pollenway
