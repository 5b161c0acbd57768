#pragma once

#include "IpPrefix.h"
#include "LookupReason.h"
#include "ResultCode.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenway {

/// Entry instance in the answer to a look-up.
struct LookupInstance
{
  InstanceName mName;
  std::string mAddress;
  uint16_t mPort = 0;
  /// Percentage of the caller's requests; the weights add up to 100. 0 marks a
  /// standby, which callers use only if the others are unreachable.
  unsigned mWeight = 0;
};

/// Answer to a look-up, or its refusal, with the reasons for the decision.
struct LookupDecision
{
  /// Ok, NoHeadroom, NoTarget, NotFound (unknown service) or NoConfiguration.
  ResultCode mCode = ResultCode::Ok;
  RegionName mRegion;
  ZoneName mZone;
  std::vector<LookupInstance> mInstances;
  Duration mTtl{};
  /// Set with NoHeadroom.
  Duration mRetryAfter{};
  /// Requests/s committed to this answer until its TTL expires.
  double mCommittedRate = 0;
  IpPrefix mBlock;
  std::vector<LookupReason> mReasons;

  /// ETag without quotes; the same if region, zone, instances and TTL are the
  /// same.
  std::string mVersion;
};

} // namespace pollenway
