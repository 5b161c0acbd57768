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

/// A zone member's part in one workspace's account: as the account's owner, the
/// token bucket with the zone's share, exchange of tokens with other zones'
/// owners and moves of the share; handover to and from other members. Grants
/// nothing before its takeover is complete, after `HandOver`, without a valid
/// lease, or before it knows the workspace's total and the allotment.
class AccountHolder
{
public:
  struct Options
  {
    ShareBalancer::Options mBalancer{};
    /// Memory of the demand estimate, long because moves cost tokens.
    Duration mDemandTimeConstant = std::chrono::seconds(30);
    /// A zone's report is fresh for this long.
    Duration mMaxReportAge = std::chrono::seconds(10);
    /// An owner that does not answer in this time is not asked for
    /// mSilentRetryDelay, then once more.
    Duration mAnswerTimeout = std::chrono::milliseconds(400);
    Duration mSilentRetryDelay = std::chrono::seconds(2);
    /// Longest time that a request waits for tokens of other zones.
    Duration mMaxRemoteWait = std::chrono::milliseconds(600);
    /// A request to a divided workspace is not refused if the zone's bucket
    /// will have a token for it within this time. Without the wait, tokens that
    /// are held while they are on the way between regions cause wrongful
    /// refusals.
    Duration mMaxLocalWait = std::chrono::milliseconds(200);
    size_t mMaxWaitingRequests = 1000;
    /// Allowance in an exchange's validity beyond the round trip.
    Duration mExchangeSlack = std::chrono::milliseconds(10);
    /// Part of the depth that is asked for when a bucket is empty.
    double mExchangeFraction = 0.5;
    /// Part of the depth that is not given to an owner with its own share.
    /// More than 0 raises wrongful refusals (docs/notes/fleet-limits.md).
    double mReservedFraction = 0;
    /// Part of the tokens beyond the first that goes to one request.
    double mOwnerExtraFraction = 0.5;
    double mBatchExtraFraction = 0.25;
  };

  /// Another zone, with the one-way latency to it.
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

  /// This instance is the owner in the zone's view `aView`, in which the
  /// others are members. It starts as soon as one of them hands the account
  /// over, or empty when all have answered that they hold nothing: who left
  /// the view has left or has been evicted and grants nothing any more. An
  /// owner of earlier views just continues.
  void BeginTakeover(uint64_t aView,
                     std::vector<InstanceName> aOthers,
                     TimePoint aNow);

  /// Members to which to send `AccountHandover` for the view, until they
  /// answer.
  const std::vector<InstanceName>& Unanswered() const { return mUnanswered; }

  /// Answers to `BeginTakeover`; those of other views are ignored.
  void OnHandoverAnswer(const InstanceName& aFrom,
                        const HandoverAnswer& aAnswer,
                        TimePoint aNow);

  /// Another member is the owner in `aView`: stops, and answers with the
  /// account if this instance held it. A repeat of the request gets the same
  /// answer. A request of an earlier view than one seen gets none. The waiting
  /// requests' answers are added to `aActions`.
  std::optional<HandoverAnswer> HandOver(uint64_t aView,
                                         TimePoint aNow,
                                         Actions& aActions);

  /// Total of a configuration generation; lower generations are ignored.
  void SetTotal(uint64_t aGeneration,
                double aRate,
                double aBurst,
                TimePoint aNow);

  /// A request of this instance (local), of an instance or of an owner. The
  /// answer may be among the returned actions or those of a later event.
  Actions Admit(const AdmitRequest& aRequest, TimePoint aNow, bool aLeaseValid);

  Actions OnReply(const AdmitReply& aReply, TimePoint aNow, bool aLeaseValid);

  /// Gives up on lost answers and considers moving share. Call it every
  /// 100 ms or so.
  Actions OnTimer(TimePoint aNow, bool aLeaseValid);

  /// When to call `OnTimer` at the latest, because a request waits for a token
  /// of this bucket; none if no request does.
  std::optional<TimePoint> NextTimer(TimePoint aNow);

  /// A zone's demand and tokens, from a heartbeat.
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
  /// Requests per second of this zone.
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
    /// Nothing reported yet if at the origin.
    TimePoint mReportedAt{};
    double mDemand = 0;
    TimePoint mDemandReportedAt{};
    /// Requests that the zone's instances sent here directly.
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
    /// Waits for a token of this bucket, not for another zone's answer.
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
  /// The next zone to ask for this request; null if none may help.
  const ZoneName* NextCandidate(const WaitingRequest& aWaiting,
                                TimePoint aNow) const;
  Duration RetryAfter(TimePoint aNow);
  /// False if there is not a whole token.
  bool TryGrant(const WaitingRequest& aWaiting,
                TimePoint aNow,
                Actions& aActions);
  /// Grants one token and a part of the others beyond it, held until the
  /// grant's validity ends. False if the bucket refuses.
  bool GrantHeld(const WaitingRequest& aWaiting,
                 double aTokens,
                 double aExtraFraction,
                 bool aToOwner,
                 TimePoint aNow,
                 Actions& aActions);
  bool TryGrantToOwner(const WaitingRequest& aWaiting,
                       TimePoint aNow,
                       Actions& aActions);
  /// Lets the request wait if a token will be there soon enough.
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
  /// Asks the next candidate, parks or refuses; true if the request still
  /// waits.
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
  /// Where the workspace rests, if its zones are not divided.
  ZoneName mSingleZone;
  /// In order of arrival.
  std::vector<WaitingRequest> mWaiting;
  uint64_t mLastWaitingSerial = 0;
  std::map<uint64_t, OpenRequest> mOpenRequests;
  uint64_t mLastSentId = 0;
  TimePoint mNextBalanceAt{};
  /// The latest view in which this instance took over or handed over.
  uint64_t mView = 0;
  std::vector<InstanceName> mUnanswered;
  /// The latest answer, for repeats of its request.
  HandoverAnswer mAnswer;
};

} // namespace pollenway
