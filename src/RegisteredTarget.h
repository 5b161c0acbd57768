#pragma once

#include "Ids.h"
#include "Time.h"

#include <cstdint>
#include <string>

namespace pollenway {

/// A target's record of itself in the registry.
struct RegisteredTarget
{
  /// Unique among all targets, including those of earlier incarnations.
  TargetName mName;
  ServiceName mService;
  ZoneName mZone;
  std::string mAddress;
  uint16_t mPort = 0;
  /// Number of requests that it runs concurrently.
  unsigned mSlots = 1;
  /// True if the target is leaving and must receive no new requests.
  bool mDraining = false;
  /// Remaining time of being cold when the target reported.
  Duration mColdRemaining{};
  /// Start time of this incarnation in Unix milliseconds; 0 if unknown. Another
  /// value under the same name is another incarnation.
  int64_t mStartedAtMs = 0;
  /// Number of the write of this record among the writes of its incarnation; 0
  /// if unknown.
  uint64_t mRecordSequence = 0;
  /// Version of the store's object that holds the record; 0 if unknown.
  uint64_t mRecordVersion = 0;

  bool operator==(const RegisteredTarget&) const = default;
};

} // namespace pollenway
