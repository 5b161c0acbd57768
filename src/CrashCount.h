#pragma once

#include "RequestFingerprint.h"

namespace pollenway {

/// How often a request has lost its target's connection at one instance.
struct CrashCount
{
  RequestFingerprint mRequest;
  unsigned mCount = 0;

  bool operator==(const CrashCount&) const = default;
};

} // namespace pollenway
