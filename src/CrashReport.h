#pragma once

#include "Ids.h"
#include "RequestFingerprint.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace pollenway {

/// Identifies one crash of a target, numbered by the slot owner that observed
/// it.
struct CrashId
{
  InstanceName mObserver;
  uint64_t mIncarnation = 0;
  uint64_t mNumber = 0;

  auto operator<=>(const CrashId&) const = default;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mObserver, aSelf.mIncarnation, aSelf.mNumber);
  }
};

/// A crash and the requests that were in flight at the target; announced to
/// peers (CrashSuspect).
struct CrashReport
{
  CrashId mId;
  std::vector<RequestFingerprint> mInFlight;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mId, aSelf.mInFlight);
  }
};

} // namespace pollenway
