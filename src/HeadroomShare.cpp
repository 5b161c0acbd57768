#include "HeadroomShare.h"

#include <algorithm>

namespace pollenway {

namespace {

bool Has(const std::vector<ShareMember>& aMembers, const ShareMember& aMember)
{
  return std::find(aMembers.begin(), aMembers.end(), aMember) != aMembers.end();
}

} // namespace

HeadroomShare::HeadroomShare(ShareMember aSelf, Duration aMaxLifetime)
  : mSelf(std::move(aSelf))
  , mMaxLifetime(aMaxLifetime)
{
}

void HeadroomShare::ApplyView(const ShareView& aView, TimePoint aNow)
{
  if (aView.mNumber <= mView.mNumber) {
    return;
  }
  // The first view that an instance receives does not show which members left
  // before it. Only view 1 has no predecessor.
  bool isRemoval = mView.mNumber == 0 && aView.mNumber > 1;
  // In a gap between view numbers, a member may have joined and left.
  isRemoval |= mView.mNumber > 0 && aView.mNumber > mView.mNumber + 1;
  for (const auto& it : mView.mMembers) {
    isRemoval |= !Has(aView.mMembers, it);
  }
  if (isRemoval) {
    mFormerAnswersUntil = aNow + mMaxLifetime;
  }
  mView = aView;
  mOwnAnswersUntil = aNow + mMaxLifetime;
  mIsSettled = false;
  const bool isMember = Has(mView.mMembers, mSelf);
  mFraction =
    isMember ? std::min(mFraction, 1.0 / double(mView.mMembers.size())) : 0;
  for (auto it = mConfirmedBy.begin(); it != mConfirmedBy.end();) {
    it =
      Has(mView.mMembers, it->first) ? std::next(it) : mConfirmedBy.erase(it);
  }
  Update(aNow);
}

void HeadroomShare::OnConfirmed(const ShareMember& aPeer,
                                uint64_t aView,
                                TimePoint aNow)
{
  auto& confirmed = mConfirmedBy[aPeer];
  confirmed = std::max(confirmed, aView);
  if (!mIsSettled) {
    Update(aNow);
  }
}

void HeadroomShare::Update(TimePoint aNow)
{
  if (mIsSettled || !Has(mView.mMembers, mSelf) || aNow < mFormerAnswersUntil) {
    return;
  }
  for (const auto& it : mView.mMembers) {
    const auto confirmed = mConfirmedBy.find(it);
    if (it != mSelf && (confirmed == mConfirmedBy.end() ||
                        confirmed->second < mView.mNumber)) {
      return;
    }
  }
  mFraction = 1.0 / double(mView.mMembers.size());
  mIsSettled = true;
}

uint64_t HeadroomShare::Confirm(bool aIsWithinFraction, TimePoint aNow)
{
  if ((aIsWithinFraction || aNow >= mOwnAnswersUntil) &&
      aNow >= mFormerAnswersUntil) {
    mConfirmed = mView.mNumber;
  }
  return mConfirmed;
}

} // namespace pollenway
