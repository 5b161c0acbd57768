#pragma once

#include "AdmitMessage.h"
#include "DemandEstimate.h"
#include "Ids.h"
#include "ResultCode.h"
#include "Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace pollenway {

/// Admits callers' requests in an instance that does not own the workspace's
/// account. Holds the tokens of unexpired batches, the open requests to the
/// account owner and an estimate of the instance's own demand.
class AccountClient
{
public:
  struct Options
  {
    Duration mSingleValidity = std::chrono::milliseconds(10);
    Duration mBatchValidity = std::chrono::milliseconds(100);
    /// Size of a requested batch, as a fraction of the demand expected during
    /// its validity. Unused tokens of a batch are lost.
    double mBatchFraction = 1;
    Duration mDemandTimeConstant = std::chrono::seconds(1);
    /// An answer is considered lost after this time.
    Duration mAnswerTimeout = std::chrono::seconds(1);
    /// How long an owner's hint to ask another zone is used.
    Duration mHintLifetime = std::chrono::seconds(10);
    /// How long requests go to another zone after the local owner was
    /// unreachable, before the local owner is tried again.
    Duration mRerouteTime = std::chrono::seconds(2);
  };

  enum class Verdict
  {
    Granted,
    Ask, ///< Send `mRequest` to the account owner of `mTo`.
    Refused,
    Ignored, ///< A late, duplicate or unknown answer; no request waits for it.
  };

  struct Decision
  {
    Verdict mVerdict = Verdict::Refused;
    /// The reason for a refusal.
    ResultCode mCode = ResultCode::Ok;
    Duration mRetryAfter{};
    ZoneName mTo{};
    AdmitRequest mRequest{};
  };

  AccountClient(InstanceName aSelf, ZoneName aZone, Options aOptions);

  /// Decides on one caller's request. After `Ask`, the request stays pending
  /// until `OnReply` is called with the same id.
  Decision Admit(TimePoint aNow);

  /// Decides on the caller's request that is pending for this answer.
  Decision OnReply(const AdmitReply& aReply, TimePoint aNow);

  /// Returns the ids of the requests whose answers are considered lost. The
  /// callers' requests pending for them must be refused with
  /// LimitOwnerUnavailable.
  std::vector<uint64_t> OnTimer(TimePoint aNow);

  /// Called when the local owner is unreachable. Sends requests to the owner
  /// in `aZone` for `mRerouteTime`. `aValidity` must cover the round trip.
  void RerouteTo(const ZoneName& aZone, Duration aValidity, TimePoint aNow);

  /// Called when the workspace's account moved to another owner or zone.
  /// Discards hints and the time until which no tokens were expected.
  void OnOwnerChange();

private:
  struct OpenRequest
  {
    TimePoint mSentAt;
    Duration mValidity{};
  };
  struct Batch
  {
    uint32_t mCount = 0;
    TimePoint mUntil;
  };

  uint64_t SettledUpTo() const;

  InstanceName mSelf;
  ZoneName mZone;
  Options mOptions;
  DemandEstimate mDemand;
  uint64_t mLastId = 0;
  uint64_t mDecidedLocally = 0;
  std::map<uint64_t, OpenRequest> mOpenRequests;
  std::map<uint64_t, Batch> mBatches;
  TimePoint mNoTokensUntil{};
  ZoneName mAlternateZone;
  Duration mAlternateValidity{};
  TimePoint mAlternateUntil{};
};

} // namespace pollenway
