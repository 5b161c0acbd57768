#pragma once

#include "AccountState.h"
#include "AdmitMessage.h"
#include "Allotment.h"
#include "DemandEstimate.h"
#include "HandoverAnswer.h"
#include "Ids.h"
#include "ShareBalancer.h"
#include "Time.h"
#include "TokenBucket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pollenway {

/// One workspace's account in one member of a zone. While the member owns the
/// account, it manages the token bucket for the zone's share, exchanges tokens
/// with other zones' owners and moves parts of the share to other zones. It
/// also hands the account over to other members and takes it over from them.
/// No tokens are granted before a takeover is complete, after `HandOver`,
/// without a valid lease, or before the workspace's total and the allotment
/// are known.
class AccountHolder
{
public:
  struct Options
  {
    ShareBalancer::Options mBalancer{};
    /// Time constant of the demand estimate. It is long because each move
    /// costs tokens.
    Duration mDemandTimeConstant = std::chrono::seconds(30);
    /// A zone's demand report is current up to this age.
    Duration mMaxReportAge = std::chrono::seconds(10);
    /// An owner that does not answer within this time is not asked again
    /// before mSilentRetryDelay has passed.
    Duration mAnswerTimeout = std::chrono::milliseconds(400);
    Duration mSilentRetryDelay = std::chrono::seconds(2);
    /// Longest time that a request waits for tokens from other zones.
    Duration mMaxRemoteWait = std::chrono::milliseconds(600);
    /// A request to a divided workspace waits instead of being refused if the
    /// local bucket will have a token for it within this time. Without the
    /// wait, tokens that are held during transfers between regions cause
    /// wrongful refusals.
    Duration mMaxLocalWait = std::chrono::milliseconds(200);
    size_t mMaxWaitingRequests = 1000;
    /// Time added to the round trip to get the validity of an exchange.
    Duration mExchangeSlack = std::chrono::milliseconds(10);
    /// Number of tokens requested from another zone when the bucket is empty,
    /// as a fraction of the depth.
    double mExchangeFraction = 0.5;
    /// Fraction of the depth that is not granted to an owner with its own
    /// share. Values above 0 increase wrongful refusals
    /// (docs/notes/fleet-limits.md).
    double mReservedFraction = 0;
    /// Fraction of the tokens beyond the first that one request may get.
    double mOwnerExtraFraction = 0.5;
    double mBatchExtraFraction = 0.25;
  };

  /// Another zone and the one-way latency to it.
  struct Peer
  {
    ZoneName mZone;
    Duration mLatency{};
  };

  struct ReplyAction
  {
    InstanceName mTo;
    bool mToOwner = false;
    AdmitReply mReply;
  };

  struct RequestAction
  {
    /// The account owner of this zone.
    ZoneName mTo;
    AdmitRequest mRequest;
  };

  struct Actions
  {
    std::vector<ReplyAction> mReplies;
    std::vector<RequestAction> mRequests;
  };

  AccountHolder(InstanceName aSelf,
                ZoneName aZone,
                std::vector<Peer> aPeers,
                Options aOptions);

  /// Called when this instance is the owner in the zone's view `aView`;
  /// `aOthers` are the other members of the view. The account becomes active
  /// when one of them hands it over, or starts empty when all have answered
  /// that they do not hold it. Former members that are not in the view have
  /// left or were evicted and grant no more tokens. If this instance already
  /// owns the account, it continues unchanged.
  void BeginTakeover(uint64_t aView,
                     std::vector<InstanceName> aOthers,
                     TimePoint aNow);

  /// Returns the members that have not answered yet. `AccountHandover` is sent
  /// to them, for the view of `BeginTakeover`, until they answer.
  const std::vector<InstanceName>& Unanswered() const { return mUnanswered; }

  /// Processes a member's answer to `AccountHandover`. Answers for other views
  /// are ignored.
  void OnHandoverAnswer(const InstanceName& aFrom,
                        const HandoverAnswer& aAnswer,
                        TimePoint aNow);

  /// Called when another member is the owner in `aView`. Stops granting, and
  /// returns an answer that contains the account if this instance held it. A
  /// repeated request gets the same answer; a request for a view older than
  /// the latest one seen gets none. The answers to waiting requests are added
  /// to `aActions`.
  std::optional<HandoverAnswer> HandOver(uint64_t aView,
                                         TimePoint aNow,
                                         Actions& aActions);

  /// Sets the workspace's total rate (requests/s) and burst (requests) from a
  /// configuration generation. Lower generations are ignored.
  void SetTotal(uint64_t aGeneration,
                double aRate,
                double aBurst,
                TimePoint aNow);

  /// Processes a request from this instance, another instance of the zone or
  /// another zone's owner. The answer is among the returned actions or those of
  /// a later call.
  Actions Admit(const AdmitRequest& aRequest, TimePoint aNow, bool aLeaseValid);

  Actions OnReply(const AdmitReply& aReply, TimePoint aNow, bool aLeaseValid);

  /// Times out open requests and considers moving part of the share. Called
  /// about every 100 ms.
  Actions OnTimer(TimePoint aNow, bool aLeaseValid);

  /// Returns the latest time at which `OnTimer` must be called to serve a
  /// request that waits for a local token; none if no request does.
  std::optional<TimePoint> NextTimer(TimePoint aNow);

  /// Processes another zone's demand (requests/s) and tokens from a heartbeat.
  void OnZoneReport(const ZoneName& aZone,
                    double aPerSecond,
                    double aTokens,
                    TimePoint aNow);

  /// See `ShareBalancer`.
  std::optional<uint64_t> NeededRead() const;
  void OnStoreRead(uint64_t aSerial,
                   const std::optional<Allotment>& aRead,
                   TimePoint aNow);
  void OnCommitted(const Allotment& aCommitted, TimePoint aNow);
  std::optional<AllotmentWrite> NextWrite(TimePoint aNow, bool aLeaseValid);
  void OnWriteResult(uint64_t aSerial, MoveOutcome aOutcome, TimePoint aNow);

  bool IsActive() const { return mState == State::Active; }
  double Tokens(TimePoint aNow) { return mBucket.Tokens(aNow); }
  double Held(TimePoint aNow) { return mBucket.Held(aNow); }
  /// Returns the demand of this zone in requests/s.
  double Demand(TimePoint aNow) const { return mDemand.PerSecond(aNow); }
  uint64_t Generation() const { return mGeneration; }
  const ShareBalancer& Balancer() const { return mBalancer; }

private:
  enum class State
  {
    Idle,
    TakingOver,
    Active,
  };

  struct PeerZone
  {
    Duration mLatency{};
    double mReportedTokens = 0;
    /// Default value: nothing reported yet.
    TimePoint mReportedAt{};
    double mDemand = 0;
    TimePoint mDemandReportedAt{};
    /// Requests that the zone's instances sent directly to this owner.
    DemandEstimate mDirectDemand;
    TimePoint mLastDirectAt{};
    TimePoint mSilentUntil{};
  };

  struct WaitingRequest
  {
    uint64_t mSerial = 0;
    AdmitRequest mRequest;
    TimePoint mReceivedAt;
    std::set<ZoneName> mAskedZones{};
    /// Waits for a token of the local bucket, not for another zone's answer.
    bool mAwaitsLocalToken = false;
  };

  struct OpenRequest
  {
    uint64_t mWaitingSerial = 0;
    ZoneName mZone;
    TimePoint mSentAt;
    Duration mValidity{};
  };

  void StartEmpty(TimePoint aNow);
  void StartFrom(const AccountState& aState, TimePoint aNow);
  void Start(TokenBucket aBucket, TimePoint aNow);
  void ApplyShare(TimePoint aNow);
  bool IsDivisible() const;
  size_t CountLocalWaiters() const;
  double DepthOf(const ZoneName& aZone) const;
  double EstimatedTokens(const ZoneName& aZone,
                         const PeerZone& aPeer,
                         TimePoint aNow) const;
  /// Returns the next zone to ask for a token for this request, or null if no
  /// zone is expected to have one.
  const ZoneName* NextCandidate(const WaitingRequest& aWaiting,
                                TimePoint aNow) const;
  Duration RetryAfter(TimePoint aNow);
  /// Returns false if the bucket has less than one token.
  bool TryGrant(const WaitingRequest& aWaiting,
                TimePoint aNow,
                Actions& aActions);
  /// Grants one token plus `aExtraFraction` of the remaining ones, and holds
  /// them until the grant expires. Returns false if the bucket has too few.
  bool GrantHeld(const WaitingRequest& aWaiting,
                 double aTokens,
                 double aExtraFraction,
                 bool aToOwner,
                 TimePoint aNow,
                 Actions& aActions);
  bool TryGrantToOwner(const WaitingRequest& aWaiting,
                       TimePoint aNow,
                       Actions& aActions);
  /// Makes the request wait if a local token will be available for it within
  /// `aLimit`. Returns false if it will not.
  bool AwaitLocalToken(WaitingRequest& aWaiting,
                       Duration aLimit,
                       TimePoint aNow);
  void ForwardGrant(const WaitingRequest& aWaiting,
                    TimePoint aUntil,
                    TimePoint aNow,
                    Actions& aActions);
  void Refuse(const WaitingRequest& aWaiting,
              ResultCode aCode,
              TimePoint aNow,
              Actions& aActions);
  /// Asks the next candidate zone, makes the request wait for a local token,
  /// or refuses it. Returns true if the request is still waiting.
  bool RequestFromNextZone(WaitingRequest& aWaiting,
                           TimePoint aNow,
                           Actions& aActions);
  void ContinueWaiting(uint64_t aSerial, TimePoint aNow, Actions& aActions);
  void ServeWaiting(TimePoint aNow, Actions& aActions);
  void RefuseAll(TimePoint aNow, Actions& aActions);
  AdmitReply MakeReply(const AdmitRequest& aRequest,
                       ResultCode aCode,
                       TimePoint aNow);
  std::map<ZoneName, ZoneDemand> Demands(TimePoint aNow) const;

  InstanceName mSelf;
  ZoneName mZone;
  Options mOptions;
  State mState = State::Idle;
  TokenBucket mBucket;
  ShareBalancer mBalancer;
  DemandEstimate mDemand;
  std::map<ZoneName, PeerZone> mPeers;
  uint64_t mGeneration = 0;
  double mRate = 0;
  double mBurst = 0;
  /// The zone with the largest fraction, set only if the local bucket can't
  /// hold a token and that zone's bucket can.
  ZoneName mSingleZone;
  /// In order of arrival.
  std::vector<WaitingRequest> mWaiting;
  uint64_t mLastWaitingSerial = 0;
  std::map<uint64_t, OpenRequest> mOpenRequests;
  uint64_t mLastSentId = 0;
  TimePoint mNextBalanceAt{};
  /// The latest view for which this instance took over or handed over.
  uint64_t mView = 0;
  std::vector<InstanceName> mUnanswered;
  /// The latest handover answer, for repeated requests.
  HandoverAnswer mAnswer;
};

} // namespace pollenway
