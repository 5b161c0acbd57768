#pragma once

#include "Ids.h"
#include "Time.h"

#include <cstdint>
#include <string>

namespace pollenway {

/// What a target has said of itself in the registry.
struct RegisteredTarget
{
  /// Unique among all targets, also those of earlier runs.
  TargetName mName;
  ServiceName mService;
  ZoneName mZone;
  std::string mAddress;
  uint16_t mPort = 0;
  /// Requests that it runs at once.
  unsigned mSlots = 1;
  /// It is leaving and is to get no new requests.
  bool mDraining = false;
  /// How much longer it was cold when it reported.
  Duration mColdRemaining{};
  /// Start of this run in Unix milliseconds, 0 if unknown. Another value under
  /// the same name is another run.
  int64_t mStartedAtMs = 0;

  bool operator==(const RegisteredTarget&) const = default;
};

} // namespace pollenway
