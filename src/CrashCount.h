#pragma once

#include "RequestFingerprint.h"

namespace pollenway {

/// Number of times that one instance lost the connection to a target while it
/// ran a request.
struct CrashCount
{
  RequestFingerprint mRequest;
  unsigned mCount = 0;

  bool operator==(const CrashCount&) const = default;
};

} // namespace pollenway
