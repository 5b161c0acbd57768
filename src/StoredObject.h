#pragma once

#include <cstdint>
#include <string>

namespace pollenway {

/// An object of the platform's store.
struct StoredObject
{
  std::string mName;
  /// Increases with each write of any object; never 0.
  uint64_t mVersion = 0;
  std::string mValue;
};

} // namespace pollenway
