#pragma once

#include "Time.h"

#include <cstdint>

namespace pollenway {

/// Limits on a caller's connection and on each request on it.
struct CallerLimits
{
  uint32_t mHeaderBytes = 16 * 1024;
  uint64_t mBodyBytes = 1024 * 1024;
  Duration mHeaderTimeout = std::chrono::seconds(10);
  Duration mIdleTimeout = std::chrono::seconds(30);

  bool operator==(const CallerLimits&) const = default;
};

} // namespace pollenway
