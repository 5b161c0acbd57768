#pragma once

#include "IpPrefix.h"
#include "LookupReason.h"
#include "ResultCode.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenway {

/// An entry instance in a look-up's answer.
struct LookupInstance
{
  InstanceName mName;
  std::string mAddress;
  uint16_t mPort = 0;
  /// Relative share of the caller's requests; the weights add up to 100. 0 for
  /// a standby, to be used only if the others can't be reached.
  unsigned mWeight = 0;
};

/// A look-up's answer or refusal, with the reasons that led to it.
struct LookupDecision
{
  /// Ok, or NoHeadroom, NoTarget, NotFound (service) or NoConfiguration.
  ResultCode mCode = ResultCode::Ok;
  RegionName mRegion;
  ZoneName mZone;
  std::vector<LookupInstance> mInstances;
  Duration mTtl{};
  /// Set with NoHeadroom.
  Duration mRetryAfter{};
  /// Requests/s that the answer counts for until its TTL ends.
  double mPromised = 0;
  IpPrefix mBlock;
  std::vector<LookupReason> mReasons;

  /// ETag without quotes: equal for equal region, zone, instances and TTL.
  std::string mVersion;
};

} // namespace pollenway
