#pragma once

#include "ByteBudget.h"
#include "HttpTypes.h"
#include "Ids.h"
#include "IpEndpoint.h"
#include "RequestFingerprint.h"
#include "RequestStage.h"
#include "RoutingTable.h"
#include "SelectionReason.h"
#include "Time.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pollenway {

class TargetExchange;

/// A caller's request while an instance processes it.
struct ForwardedRequest
{
  /// The moment at which an attempt is written to its connection.
  struct Write
  {
    /// Time since `mReceivedAt`.
    Duration mAge{};
    /// How late the event loop ran.
    Duration mLoopLag{};
  };

  std::string mId;
  /// The routing table in force when the request arrived; `mRule` and
  /// `mWorkspace` point into it.
  std::shared_ptr<const RoutingTable> mTable;
  const RoutingRule* mRule = nullptr;
  /// Null on routes that need no key.
  const WorkspaceGrant* mWorkspace = nullptr;
  ServiceName mService;
  uint64_t mObject = 0;
  RequestFingerprint mFingerprint;
  RequestHeader mHeader;
  /// Shared with the attempts at targets. Never null.
  std::shared_ptr<const std::string> mBody =
    std::make_shared<const std::string>();
  ByteBudget::Reservation mBodyMemory;
  TimePoint mReceivedAt{};
  /// End of the attempts at targets.
  TimePoint mDeadline{};
  /// End of an answer that has begun. It is later than `mDeadline` if the
  /// process stops before the caller's time is over.
  TimePoint mAnswerDeadline{};
  /// Time until which the caller waits; without a limit if it states none.
  TimePoint mCallerDeadline = TimePoint::max();
  RequestStage mStage = RequestStage::ReadingBody;
  std::vector<TargetName> mTried;
  /// Region of the last target in `mTried`, and why it was selected.
  RegionName mTargetRegion;
  SelectionReason mSelectionReason = SelectionReason::Planned;
  /// Addresses of the targets in `mTried`; several targets may share one.
  std::vector<IpEndpoint> mTriedAddresses;
  /// True if another instance has received the request from its caller and
  /// counted it.
  bool mIsRelayed = false;
  /// Maximum number of attempts at targets.
  unsigned mMaxAttempts = 0;
  /// The instances through which the request was sent.
  std::vector<IpEndpoint> mTriedPeers;
  /// Connections that failed before anything was sent.
  unsigned mConnectFailures = 0;
  /// Time at which the last attempt at a target began.
  TimePoint mSentAt{};
  /// The last write to a target or to another instance.
  std::optional<Write> mWrite;
  /// True if the current attempt was cancelled because no target can be reached
  /// directly.
  bool mPathLost = false;
  unsigned mAttempts = 0;
  bool mMayHaveRun = false;
  bool mCallerGone = false;
  /// The current attempt; it is cancelled if the caller disconnects.
  TargetExchange* mExchange = nullptr;
};

} // namespace pollenway
