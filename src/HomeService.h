#pragma once

#include "HomeDirectory.h"
#include "IdempotencyTable.h"
#include "MembershipService.h"
#include "ProtectedRequest.h"

#include <map>
#include <memory>

namespace pollenway {

/// Provides at-most-once execution across the fleet. Keeps the idempotency
/// records whose home is this instance, and requests permission from the homes
/// of its callers' keys.
class HomeService
{
public:
  /// A request with an idempotency key that this instance received.
  struct ActiveRequest;

  HomeService(asio::any_io_executor aExecutor,
              FleetState& aFleet,
              StoreClient& aStore,
              PeerTransport& aTransport,
              MembershipService& aMembership);
  ~HomeService();

  void Start();
  void Stop();
  void UpdateDirectory();
  /// Called with the value of the store object `homemap/current`.
  void OnHomeMap(const std::string& aValue);
  void HandleMessage(const PeerMessage& aMessage);
  /// Called when this process has joined its zone as a new incarnation.
  /// Discards its records.
  void OnRejoin();

  /// Requests permission from the key's home until it answers, the start window
  /// has passed or the deadline has passed.
  Awaitable<ProtectedRequest::Step> Begin(
    std::shared_ptr<ActiveRequest> aRequest,
    TimePoint aDeadline);
  std::shared_ptr<ActiveRequest> MakeRequest(RecordKey aKey,
                                             uint64_t aFingerprint);
  /// Returns true at most once, if the request may be sent to a backend server
  /// now.
  bool TryStart(ActiveRequest& aRequest);
  /// Starts to report the outcome to the home and returns at once. The report
  /// is resent until the home acknowledges it, for at most the retention time.
  /// A request that has not started is refused, whatever `aOutcome` is.
  void End(std::shared_ptr<ActiveRequest> aRequest,
           AttemptOutcome aOutcome,
           std::string aAnswer);
  ResultCode RefusalOf(const ActiveRequest& aRequest) const;
  const std::string& AnswerOf(const ActiveRequest& aRequest) const;

  const IdempotencyTable& Table() const { return *mTable; }
  const HomeDirectory& Directory() const { return mDirectory; }
  /// Returns the number of outcomes that homes have not acknowledged yet. A
  /// graceful shutdown waits for them.
  size_t OpenReports() const { return mOpenReports; }

private:
  Awaitable<void> TickLoop();
  /// Reads the home map from the store, or creates it if there is none.
  Awaitable<void> ReadHomeMap();
  Awaitable<void> ReportEnd(std::shared_ptr<ActiveRequest> aRequest);
  Awaitable<void> Wait(asio::steady_timer& aTimer, Duration aTime);
  void SendAction(const HomeAction& aAction);
  void Flush();
  void Deliver(const HomeMember& aFrom, const HomeMessage& aMessage);
  HomeMember Self() const;

  asio::any_io_executor mExecutor;
  FleetState& mFleet;
  StoreClient& mStore;
  PeerTransport& mTransport;
  MembershipService& mMembership;
  IdempotencyOptions mOptions;
  HomeDirectory mDirectory;
  std::unique_ptr<IdempotencyTable> mTable;
  std::map<uint64_t, std::weak_ptr<ActiveRequest>> mRequests;
  asio::steady_timer mTimer;
  uint64_t mNextAttemptNumber = 1;
  size_t mOpenReports = 0;
  bool mReadingMap = false;
  bool mFlushing = false;
  bool mStopping = false;
};

} // namespace pollenway
