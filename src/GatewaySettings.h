#pragma once

#include "Ids.h"
#include "IpEndpoint.h"
#include "LogLevel.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenway {

/// Limits that the operators guarantee to callers and backend servers. The
/// defaults apply where a deployment does not set a limit.
struct ServiceBounds
{
  /// Time from SIGTERM to the forced end of the process.
  Duration mStopGrace = std::chrono::seconds(6);
  /// Time within which the records of live targets are written again after an
  /// outage of the store.
  Duration mRecordRecoveryTime = std::chrono::seconds(2);
  /// Maximum retries of a service's requests, as a fraction of the requests.
  double mRetryRatio = 0.2;
  /// Retries of a service's requests allowed beyond that fraction in a window,
  /// summed over all instances.
  double mRetrySlack = 100;
  Duration mRateWindow = std::chrono::seconds(5);
  /// Tolerance for a workspace's requests in one rate window: a fraction of
  /// rate and burst, and a number of requests.
  double mRateOverage = 0.1;
  double mRateSlack = 20;
  /// Maximum time for which callers may keep a look-up's answer.
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
  /// Port for requests that other instances relay; 0 for none.
  uint16_t mRelayPort = 0;
  IpEndpoint mCallerEndpoint;
  IpEndpoint mReadyEndpoint;
  IpEndpoint mLookupEndpoint;
  IpEndpoint mMetricsEndpoint;
  IpEndpoint mStoreEndpoint;
  /// Time for which the store keeps its history of changes.
  Duration mStoreHistoryTime = std::chrono::seconds(20);
  /// Addresses of instances to contact first; may be stale.
  std::vector<std::string> mSeedAddresses;
  /// True if the whole deployment starts for the first time.
  bool mIsFirstStart = false;
  /// Number of file descriptors that the process may use for sockets.
  unsigned mMaxSockets = 1024;
  uint64_t mMemoryBytes = 256 * 1024 * 1024;
  LogLevel mLogLevel = LogLevel::Info;
  ServiceBounds mBounds;
};

} // namespace pollenway
