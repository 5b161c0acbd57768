#pragma once

#include "CrashQuarantine.h"
#include "ExchangeForwarder.h"
#include "FairQueue.h"
#include "FleetState.h"
#include "PeerTransport.h"
#include "SlotTable.h"

#include <map>
#include <memory>

namespace pollenway {

/// Runs requests at the targets whose slot owner this instance is: takes a
/// slot or waits in the target's fair queue, then forwards.
class BackendDispatcher
{
public:
  BackendDispatcher(asio::any_io_executor aExecutor,
                    FleetState& aFleet,
                    PeerTransport& aTransport,
                    ForwarderOptions aOptions);

  /// One attempt at a target. Refused as not run if this instance is not the
  /// target's slot owner, the target takes no work, the queue is full or the
  /// deadline passes first. `aTimeout` bounds the wait for the answer's header.
  Awaitable<AttemptResult> Dispatch(RequestContext& aRequest,
                                    const Target& aTarget,
                                    Duration aTimeout = Duration::max());

  SlotTable& Slots() { return mSlots; }
  /// Starts requests that wait, after slots became free.
  void ServeQueue(const TargetName& aTarget);
  /// Refuses all that wait for a target that has left or is no longer owned.
  void ClearQueue(const TargetName& aTarget, ResultCode aCode);
  size_t Queued(const TargetName& aTarget) const;
  const ExchangeForwarder& Forwarder() const { return mForwarder; }
  /// Requests that crash the backend servers that run them.
  CrashQuarantine& Quarantine() { return mQuarantine; }

private:
  struct Waiter;
  using Queue = FairQueue<std::shared_ptr<Waiter>>;

  Awaitable<ResultCode> WaitForSlot(RequestContext& aRequest,
                                    const Target& aTarget,
                                    SlotTicket& aTicket);

  /// Ok, or why the request may not start at the target now.
  ResultCode CheckQuarantine(const RequestContext& aRequest,
                             const TargetName& aTarget,
                             bool& aIsSuspect);
  /// Learns from the end of a run; a lost connection may be a crash.
  Awaitable<void> OnAttemptEnded(RequestFingerprint aRequest,
                                 TargetName aTarget,
                                 tcp::endpoint aEndpoint,
                                 std::optional<AttemptFailure> aFailure,
                                 bool aIsSuspect);
  Awaitable<bool> ProbeRefused(tcp::endpoint aEndpoint);
  void NotifyAllPeers(const PeerBody& aBody);

  asio::any_io_executor mExecutor;
  FleetState& mFleet;
  PeerTransport& mTransport;
  HttpClientPool mPool;
  ExchangeForwarder mForwarder;
  SlotTable mSlots;
  std::map<TargetName, Queue> mQueues;
  CrashQuarantine mQuarantine;
  /// Requests in flight at each target, with those that ended by a lost
  /// connection and are not yet explained.
  std::map<TargetName, std::vector<RequestFingerprint>> mInFlight;
  std::map<TargetName, TimePoint> mLastCrashAt;
  uint64_t mCrashes = 0;
};

} // namespace pollenway
