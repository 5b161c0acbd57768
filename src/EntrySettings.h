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

/// Settings of one entry instance, from which it learns its addresses and
/// zone. Read by `EntrySettingsReader`.
struct EntrySettings
{
  InstanceName mName;
  ZoneName mZone;
  /// IP address that callers and peers use, and on which their ports listen.
  std::string mAddress;
  /// Callers' HTTP requests.
  uint16_t mCallerPort = 8080;
  /// Messages between instances.
  uint16_t mPeerPort = 7070;
  /// HTTP relays between instances.
  uint16_t mRelayPort = 7071;
  /// State, metrics, withdrawals and drains.
  uint16_t mAdminPort = 7072;
  /// The admin port has no authentication, so it listens on loopback only
  /// unless set otherwise.
  std::string mAdminAddress = "127.0.0.1";
  /// The platform's object API.
  IpEndpoint mPlatform;
  /// Peer ports of instances to contact first, when the store does not answer.
  /// The instance's own may be among them.
  std::vector<IpEndpoint> mSeeds;
  /// Seed of the random numbers; unset: drawn at start.
  std::optional<uint64_t> mRandomSeed;
  CutOffKeyPolicy::Mode mCutOffKeyPolicy = CutOffKeyPolicy::Mode::Serve;
  /// Peers whose `client=` parameter of a look-up is honoured.
  std::vector<NetworkPrefix> mTrustedResolvers;
  /// Longest time that a graceful shutdown waits for requests in flight.
  Duration mDrainTimeout = std::chrono::minutes(10);
  /// How long idempotency records are kept after their request has ended.
  Duration mRecordRetention = std::chrono::minutes(15);
  /// Largest answer body that is kept with an idempotency record, in bytes.
  size_t mMaxBufferedAnswerBytes = 65536;
  LogLevel mLogLevel = LogLevel::Info;

  bool operator==(const EntrySettings&) const = default;
};

} // namespace pollenway
