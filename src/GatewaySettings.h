#pragma once

#include "Ids.h"
#include "IpEndpoint.h"
#include "LogLevel.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenway {

/// Limits that the operators promise to callers and backend servers. The
/// defaults hold where a deployment does not set a limit.
struct ServiceBounds
{
  /// Time from SIGTERM to the forced end of the process.
  Duration mStopGrace = std::chrono::seconds(6);
  /// Time in which the records of live targets are back after an outage of
  /// the store.
  Duration mLapseRecovery = std::chrono::seconds(2);
  /// Repeats of a service's requests, as a share of the requests.
  double mRetryRatio = 0.2;
  /// Repeats of a service's requests allowed beyond that share in a window,
  /// over all instances.
  double mRetrySlack = 100;
  Duration mRateWindow = std::chrono::seconds(5);
  /// Tolerance of a workspace's requests in such a window: a share of rate and
  /// burst, and a number.
  double mRateOverage = 0.1;
  double mRateSlack = 20;
  /// Longest time that callers may keep a look-up's answer.
  Duration mLookupTtl = std::chrono::seconds(5);
};

/// Settings of one gateway instance.
struct GatewaySettings
{
  InstanceName mName;
  ZoneName mZone;
  RegionName mRegion;
  /// All availability zones of the deployment.
  std::map<ZoneName, RegionName> mRegionOf;
  /// Address for messages between instances.
  std::string mAddress;
  uint16_t mPeerPort = 0;
  IpEndpoint mCallerEndpoint;
  IpEndpoint mReadyEndpoint;
  IpEndpoint mLookupEndpoint;
  IpEndpoint mMetricsEndpoint;
  IpEndpoint mStoreEndpoint;
  /// Addresses of instances to contact first; may be stale.
  std::vector<std::string> mSeedAddresses;
  /// The whole deployment starts for the first time.
  bool mIsFirstStart = false;
  /// Descriptors that the process may use for sockets.
  unsigned mMaxSockets = 1024;
  uint64_t mMemoryBytes = 256 * 1024 * 1024;
  LogLevel mLogLevel = LogLevel::Info;
  ServiceBounds mBounds;
};

} // namespace pollenway
