#pragma once

#include "CutOffKeyPolicy.h"
#include "Ids.h"
#include "IpEndpoint.h"
#include "LogLevel.h"
#include "NetworkPrefix.h"
#include "Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// Settings of one entry instance, including its addresses and zone. Read by
/// `EntrySettingsReader`.
struct EntrySettings
{
  InstanceName mName;
  ZoneName mZone;
  /// IP address that callers and peers connect to and that their ports listen
  /// on.
  std::string mAddress;
  /// Port for callers' HTTP requests.
  uint16_t mCallerPort = 8080;
  /// Port for messages between instances.
  uint16_t mPeerPort = 7070;
  /// Port for HTTP requests relayed between instances.
  uint16_t mRelayPort = 7071;
  /// Port for state, metrics, withdrawals and drains.
  uint16_t mAdminPort = 7072;
  /// Address that the admin port listens on. The port has no authentication,
  /// so the default is loopback.
  std::string mAdminAddress = "127.0.0.1";
  /// Endpoint of the platform's object API.
  IpEndpoint mPlatform;
  /// Peer endpoints of instances to contact first when the store does not
  /// answer. May include the instance itself.
  std::vector<IpEndpoint> mSeeds;
  /// Seed of the random number generator; chosen at start if unset.
  std::optional<uint64_t> mRandomSeed;
  CutOffKeyPolicy::Mode mCutOffKeyPolicy = CutOffKeyPolicy::Mode::Serve;
  /// Peers whose look-ups may name the client in the `client=` parameter.
  std::vector<NetworkPrefix> mTrustedResolvers;
  /// Maximum time that a graceful shutdown waits for requests in flight.
  Duration mDrainTimeout = std::chrono::minutes(10);
  /// Time that idempotency records are kept after their request has ended.
  Duration mRecordRetention = std::chrono::minutes(15);
  /// Maximum size in bytes of an answer body stored with an idempotency record.
  size_t mMaxBufferedAnswerBytes = 65536;
  LogLevel mLogLevel = LogLevel::Info;

  bool operator==(const EntrySettings&) const = default;
};

} // namespace pollenway
