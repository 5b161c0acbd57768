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

/// What an instance that does not own a workspace's account keeps to admit
/// its callers' requests: tokens of an unexpired batch, open requests to the
/// owner, its own demand.
class AccountClient
{
public:
  struct Options
  {
    Duration mSingleValidity = std::chrono::milliseconds(10);
    Duration mBatchValidity = std::chrono::milliseconds(100);
    /// Part of the expected demand during a batch's validity that is asked
    /// for. Unused tokens of a batch are lost.
    double mBatchFraction = 1;
    Duration mDemandTimeConstant = std::chrono::seconds(1);
    /// An answer that takes longer counts as lost.
    Duration mAnswerTimeout = std::chrono::seconds(1);
    /// How long an owner's advice to ask another zone is followed.
    Duration mHintLifetime = std::chrono::seconds(10);
    /// How long another zone is asked because the own zone's owner is out of
    /// reach, before that is tried again.
    Duration mRerouteTime = std::chrono::seconds(2);
  };

  enum class Verdict
  {
    Granted,
    Ask, ///< Send `mRequest` to the account owner of `mTo`.
    Refused,
    Ignored, ///< A late, repeated or unknown answer: nothing waits for it.
  };

  struct Decision
  {
    Verdict mVerdict = Verdict::Refused;
    /// Why refused.
    ResultCode mCode = ResultCode::Ok;
    Duration mRetryAfter{};
    ZoneName mTo{};
    AdmitRequest mRequest{};
  };

  AccountClient(InstanceName aSelf, ZoneName aZone, Options aOptions);

  /// Decides on one caller's request. After `Ask`, the caller's request waits
  /// for `OnReply` with the same id.
  Decision Admit(TimePoint aNow);

  /// Decides on the caller's request that waits for this answer.
  Decision OnReply(const AdmitReply& aReply, TimePoint aNow);

  /// Ids of requests whose answers count as lost; refuse the callers' requests
  /// that wait for them with LimitOwnerUnavailable.
  std::vector<uint64_t> OnTimer(TimePoint aNow);

  /// The owner of the own zone can't be reached: asks that of `aZone` for the
  /// next seconds. `aValidity` must cover the way there and back.
  void RerouteTo(const ZoneName& aZone, Duration aValidity, TimePoint aNow);

  /// The workspace's account moved to another owner or zone: forgets advice.
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
