#pragma once

#include "ByteBudget.h"
#include "HttpTypes.h"
#include "Ids.h"
#include "RequestFingerprint.h"
#include "RoutingTable.h"
#include "Time.h"

#include <memory>
#include <string>
#include <vector>

namespace pollenway {

class TargetExchange;

/// A caller's request on its way through an instance.
struct ForwardedRequest
{
  std::string mId;
  /// The routing table that was in force when the request arrived; the rule
  /// and the workspace belong to it.
  std::shared_ptr<const RoutingTable> mTable;
  const RoutingRule* mRule = nullptr;
  /// Null on routes that are open to all.
  const WorkspaceGrant* mWorkspace = nullptr;
  ServiceName mService;
  uint64_t mObject = 0;
  RequestFingerprint mFingerprint;
  RequestHeader mHeader;
  std::string mBody;
  ByteBudget::Reservation mBodyMemory;
  TimePoint mReceivedAt{};
  TimePoint mDeadline{};
  std::vector<TargetName> mTried;
  unsigned mAttempts = 0;
  bool mMayHaveRun = false;
  bool mCallerGone = false;
  /// The attempt under way, to be cancelled if the caller leaves.
  TargetExchange* mExchange = nullptr;
};

} // namespace pollenway
