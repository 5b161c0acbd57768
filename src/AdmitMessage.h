#pragma once

#include "Ids.h"
#include "ResultCode.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace pollenway {

/// A request for tokens to an account owner; the body of the peer message
/// `Admit`.
struct AdmitRequest
{
  /// Increases by one with each request of the sender in the same role.
  uint64_t mId = 0;
  InstanceName mFrom{};
  ZoneName mZone{};
  /// True if the account owner of `mZone` sent the request for its own bucket,
  /// false if an instance sent it for itself. An owner's request is not
  /// forwarded to other zones.
  bool mFromOwner = false;
  /// Number of tokens wanted. The first is required; the others are granted if
  /// the bucket has enough.
  uint32_t mCount = 1;
  /// True if the sender has its own share. The owner then grants only tokens
  /// above its reserve.
  bool mHasShare = false;
  /// Time after the decision during which the tokens may be used.
  Duration mValidity{};
  /// The sender will use no more tokens from its requests up to this id.
  uint64_t mSettledUpTo = 0;
  /// Number of callers' requests that the sender decided locally since its last
  /// request: admitted from a batch, or refused while no token was expected.
  uint64_t mDecidedLocally = 0;
  /// Demand of the sender's zone in requests/s, if the sender is an owner.
  double mDemand = 0;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mId,
                    aSelf.mFrom,
                    aSelf.mZone,
                    aSelf.mFromOwner,
                    aSelf.mCount,
                    aSelf.mHasShare,
                    aSelf.mValidity,
                    aSelf.mSettledUpTo,
                    aSelf.mDecidedLocally,
                    aSelf.mDemand);
  }
};

/// The body of the peer message `AdmitReply`.
struct AdmitReply
{
  uint64_t mId = 0;
  /// The zone of the answering owner.
  ZoneName mZone{};
  /// Ok, RateExceeded or LimitOwnerUnavailable.
  ResultCode mCode = ResultCode::RateExceeded;
  /// Number of tokens granted.
  uint32_t mGranted = 0;
  /// Time from receiving the request to deciding the answer. The sender may
  /// use the tokens until its send time + decision time + validity on its own
  /// clock, which is never later than the owner's time of decision + validity.
  Duration mDecisionTime{};
  /// Tokens left in the owner's bucket, for ordering candidates.
  double mTokens = 0;
  double mDemand = 0;
  /// If refused: estimated time until a token is available.
  Duration mRetryAfter{};
  /// Hint: the zone whose owner to ask directly in future, and the validity to
  /// request from it. Empty for none.
  ZoneName mHintZone{};
  Duration mHintValidity{};

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mId,
                    aSelf.mZone,
                    aSelf.mCode,
                    aSelf.mGranted,
                    aSelf.mDecisionTime,
                    aSelf.mTokens,
                    aSelf.mDemand,
                    aSelf.mRetryAfter,
                    aSelf.mHintZone,
                    aSelf.mHintValidity);
  }
};

/// Margin for clock drift: the granting owner holds tokens longer than the
/// receiver may use them, by the validity divided by this number.
constexpr int kClockDriftDivisor = 20;

/// Upper limit of `AdmitRequest::mValidity`. A new owner that starts without a
/// handover waits this long plus the drift margin, so that its predecessor's
/// grants have expired.
constexpr Duration kMaxGrantValidity = std::chrono::milliseconds(250);

/// Returns how long the granting owner holds tokens with this validity.
constexpr Duration HoldTime(Duration aValidity)
{
  return aValidity + aValidity / kClockDriftDivisor;
}

} // namespace pollenway
