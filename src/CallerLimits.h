#pragma once

#include "Time.h"

#include <cstdint>

namespace pollenway {

/// Bounds on what a caller may send on one connection.
struct CallerLimits
{
  uint32_t mHeaderBytes = 16 * 1024;
  uint64_t mBodyBytes = 1024 * 1024;
  Duration mHeaderTimeout = std::chrono::seconds(10);
  Duration mIdleTimeout = std::chrono::seconds(30);

  bool operator==(const CallerLimits&) const = default;
};

} // namespace pollenway
