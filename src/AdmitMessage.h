#pragma once

#include "Ids.h"
#include "ResultCode.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace pollenway {

/// Asks an account owner for tokens. The body of the peer message `Admit`.
struct AdmitRequest
{
  /// Grows by one with each request of the sender in the same role.
  uint64_t mId = 0;
  InstanceName mFrom{};
  ZoneName mZone{};
  /// Sent by the account owner of `mZone` for its own bucket, not by an
  /// instance for itself. Such a request is not passed on to other zones.
  bool mFromOwner = false;
  /// Tokens wanted. One is needed; the others are given if there are plenty.
  uint32_t mCount = 1;
  /// The sender has a share of its own, so it gets only what the owner can
  /// spare.
  bool mHasShare = false;
  /// Time after the answer was decided during which tokens may be used.
  Duration mValidity{};
  /// The sender will use no more token of its requests up to this one.
  uint64_t mSettledUpTo = 0;
  /// Callers' requests that the sender decided by itself since its last
  /// request: from a batch, or refused while no token was expected.
  uint64_t mDecidedLocally = 0;
  /// Requests per second of the sender's zone if it is an owner.
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
  /// Tokens granted.
  uint32_t mGranted = 0;
  /// Time between receiving the request and deciding the answer. The sender
  /// may use the tokens until sent + held + validity on its own clock, which
  /// is never later than the owner's decided + validity.
  Duration mDecisionTime{};
  /// Tokens left, for ordering candidates.
  double mTokens = 0;
  double mDemand = 0;
  /// Where the answer is a refusal: time until a token is likely.
  Duration mRetryAfter{};
  /// Zone whose owner to ask directly in future, and the validity to ask it
  /// for; empty for none.
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

/// Allowance for different clock rates: a giver counts granted tokens for
/// this much longer than the receiver may use them (parts of the validity).
constexpr int kClockDriftDivisor = 20;

/// Upper limit of `AdmitRequest::mValidity`. A new owner that starts without
/// a handover waits this long plus drift, so that its predecessor's grants
/// have expired.
constexpr Duration kMaxGrantValidity = std::chrono::milliseconds(250);

/// How long the giver counts tokens valid for `aValidity` as held.
constexpr Duration HoldTime(Duration aValidity)
{
  return aValidity + aValidity / kClockDriftDivisor;
}

} // namespace pollenway
