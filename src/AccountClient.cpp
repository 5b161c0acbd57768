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
  , mDemand(aOptions.mDemandMemory)
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
    ++mDecidedHere;
    return { .mVerdict = Verdict::Granted };
  }
  if (aNow < mEmptyUntil) {
    ++mDecidedHere;
    return { .mVerdict = Verdict::Refused,
             .mCode = ResultCode::RateExceeded,
             .mRetryAfter = mEmptyUntil - aNow };
  }
  const bool advised = aNow < mAdviceUntil;
  const double demand = mDemand.PerSecond(aNow);
  AdmitRequest request{ .mFrom = mSelf, .mZone = mZone };
  if (advised) {
    request.mValidity = mAdvisedValidity;
  } else {
    const double expected =
      demand * mOptions.mBatchPart * ToSeconds(mOptions.mBatchValidity);
    request.mCount = std::max(1u, uint32_t(expected + 0.5));
    request.mValidity =
      request.mCount > 1 ? mOptions.mBatchValidity : mOptions.mSingleValidity;
  }
  request.mSettled = Settled();
  request.mDecidedBefore = std::exchange(mDecidedHere, 0);
  request.mId = ++mLastId;
  mOpen[request.mId] = { .mSent = aNow, .mValidity = request.mValidity };
  return { .mVerdict = Verdict::Ask,
           .mTo = advised ? mAdvisedZone : mZone,
           .mRequest = std::move(request) };
}

AccountClient::Decision AccountClient::OnReply(const AdmitReply& aReply,
                                               TimePoint aNow)
{
  const auto it = mOpen.find(aReply.mId);
  if (it == mOpen.end()) {
    return { .mVerdict = Verdict::Ignored };
  }
  const Open open = it->second;
  mOpen.erase(it);
  if (!aReply.mAskInstead.IsEmpty()) {
    mAdvisedZone = aReply.mAskInstead;
    mAdvisedValidity = aReply.mAskInsteadValidity;
    mAdviceUntil = aNow + mOptions.mAdviceLife;
  }
  const TimePoint until = open.mSent + aReply.mHeld + open.mValidity;
  if (aReply.mGranted >= 1 && aNow < until) {
    if (aReply.mGranted >= 2) {
      mBatches[aReply.mId] = { .mCount = aReply.mGranted - 1, .mUntil = until };
    }
    return { .mVerdict = Verdict::Granted };
  }
  if (aReply.mCode == ResultCode::RateExceeded) {
    // The time on the way is deducted: the wait began at the owner.
    mEmptyUntil = open.mSent + aReply.mHeld + aReply.mRetryAfter;
    return { .mVerdict = Verdict::Refused,
             .mCode = ResultCode::RateExceeded,
             .mRetryAfter = aReply.mRetryAfter };
  }
  mAdviceUntil = aNow;
  return { .mVerdict = Verdict::Refused,
           .mCode = ResultCode::LimitOwnerUnavailable,
           .mRetryAfter = aReply.mRetryAfter };
}

std::vector<uint64_t> AccountClient::OnTimer(TimePoint aNow)
{
  std::vector<uint64_t> lost;
  std::erase_if(mOpen, [&](const auto& aOpen) {
    if (aNow - aOpen.second.mSent < mOptions.mAnswerTimeout) {
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

void AccountClient::AskElsewhere(const ZoneName& aZone,
                                 Duration aValidity,
                                 TimePoint aNow)
{
  mAdvisedZone = aZone;
  mAdvisedValidity = std::min(aValidity, kMaxGrantValidity);
  mAdviceUntil = aNow + mOptions.mDetourLife;
}

void AccountClient::OnOwnerChange()
{
  mAdviceUntil = TimePoint{};
  mEmptyUntil = TimePoint{};
}

uint64_t AccountClient::Settled() const
{
  uint64_t oldest = mLastId + 1;
  if (!mOpen.empty()) {
    oldest = std::min(oldest, mOpen.begin()->first);
  }
  if (!mBatches.empty()) {
    oldest = std::min(oldest, mBatches.begin()->first);
  }
  return oldest - 1;
}

} // namespace pollenway
