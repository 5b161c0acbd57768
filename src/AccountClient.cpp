#include "AccountClient.h"

#include <algorithm>
#include <utility>

namespace pollenway {

AccountClient::AccountClient(InstanceName aSelf,
                             ZoneName aZone,
                             Options aOptions)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mOptions(aOptions)
  , mDemand(aOptions.mDemandTimeConstant)
{
}

AccountClient::Decision AccountClient::Admit(TimePoint aNow)
{
  mDemand.Add(1, aNow);
  std::erase_if(mBatches, [&](const auto& aBatch) {
    return aBatch.second.mUntil <= aNow || aBatch.second.mCount == 0;
  });
  if (!mBatches.empty()) {
    --mBatches.begin()->second.mCount;
    ++mDecidedLocally;
    return { .mVerdict = Verdict::Granted };
  }
  if (aNow < mNoTokensUntil) {
    ++mDecidedLocally;
    return { .mVerdict = Verdict::Refused,
             .mCode = ResultCode::RateExceeded,
             .mRetryAfter = mNoTokensUntil - aNow };
  }
  const bool usesAlternate = aNow < mAlternateUntil;
  const double demand = mDemand.PerSecond(aNow);
  AdmitRequest request{ .mFrom = mSelf, .mZone = mZone };
  if (usesAlternate) {
    request.mValidity = mAlternateValidity;
  } else {
    const double expected =
      demand * mOptions.mBatchFraction * ToSeconds(mOptions.mBatchValidity);
    request.mCount = std::max(1u, uint32_t(expected + 0.5));
    request.mValidity =
      request.mCount > 1 ? mOptions.mBatchValidity : mOptions.mSingleValidity;
  }
  request.mSettledUpTo = SettledUpTo();
  request.mDecidedLocally = std::exchange(mDecidedLocally, 0);
  request.mId = ++mLastId;
  mOpenRequests[request.mId] = { .mSentAt = aNow,
                                 .mValidity = request.mValidity };
  return { .mVerdict = Verdict::Ask,
           .mTo = usesAlternate ? mAlternateZone : mZone,
           .mRequest = std::move(request) };
}

AccountClient::Decision AccountClient::OnReply(const AdmitReply& aReply,
                                               TimePoint aNow)
{
  const auto it = mOpenRequests.find(aReply.mId);
  if (it == mOpenRequests.end()) {
    return { .mVerdict = Verdict::Ignored };
  }
  const OpenRequest open = it->second;
  mOpenRequests.erase(it);
  if (!aReply.mHintZone.IsEmpty()) {
    mAlternateZone = aReply.mHintZone;
    mAlternateValidity = aReply.mHintValidity;
    mAlternateUntil = aNow + mOptions.mHintLifetime;
  }
  const TimePoint until = open.mSentAt + aReply.mDecisionTime + open.mValidity;
  if (aReply.mGranted >= 1 && aNow < until) {
    if (aReply.mGranted >= 2) {
      mBatches[aReply.mId] = { .mCount = aReply.mGranted - 1, .mUntil = until };
    }
    return { .mVerdict = Verdict::Granted };
  }
  if (aReply.mCode == ResultCode::RateExceeded) {
    // The owner computed the delay when it decided, so the transit time of the
    // answer has already elapsed.
    mNoTokensUntil = open.mSentAt + aReply.mDecisionTime + aReply.mRetryAfter;
    return { .mVerdict = Verdict::Refused,
             .mCode = ResultCode::RateExceeded,
             .mRetryAfter = aReply.mRetryAfter };
  }
  mAlternateUntil = aNow;
  return { .mVerdict = Verdict::Refused,
           .mCode = ResultCode::LimitOwnerUnavailable,
           .mRetryAfter = aReply.mRetryAfter };
}

std::vector<uint64_t> AccountClient::OnTimer(TimePoint aNow)
{
  std::vector<uint64_t> lost;
  std::erase_if(mOpenRequests, [&](const auto& aOpen) {
    if (aNow - aOpen.second.mSentAt < mOptions.mAnswerTimeout) {
      return false;
    }
    lost.push_back(aOpen.first);
    return true;
  });
  if (!lost.empty()) {
    OnOwnerChange();
  }
  return lost;
}

void AccountClient::RerouteTo(const ZoneName& aZone,
                              Duration aValidity,
                              TimePoint aNow)
{
  mAlternateZone = aZone;
  mAlternateValidity = std::min(aValidity, kMaxGrantValidity);
  mAlternateUntil = aNow + mOptions.mRerouteTime;
}

void AccountClient::OnOwnerChange()
{
  mAlternateUntil = TimePoint{};
  mNoTokensUntil = TimePoint{};
}

uint64_t AccountClient::SettledUpTo() const
{
  uint64_t oldest = mLastId + 1;
  if (!mOpenRequests.empty()) {
    oldest = std::min(oldest, mOpenRequests.begin()->first);
  }
  if (!mBatches.empty()) {
    oldest = std::min(oldest, mBatches.begin()->first);
  }
  return oldest - 1;
}

} // namespace pollenway
