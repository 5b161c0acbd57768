#include "GrantorLease.h"

#include "Assert.h"

namespace pollenway {

void GrantorLease::AdoptView(const ZoneView& aView, TimePoint aNow)
{
  POLLENWAY_ASSERT(aView.mNumber >= mView.mNumber,
                   "the view number never goes back");
  // A skipped view may have listed a grantor that this one never saw.
  bool isRemoval = mView.mNumber == 0 || aView.mNumber > mView.mNumber + 1;
  for (const auto& it : mView.mMembers) {
    isRemoval |= !aView.Contains(it.mName, it.mIncarnation);
  }
  if (isRemoval) {
    mLastRemoval = aNow;
  }
  mView = aView;
  // A run that was removed never returns, so its state is not needed.
  std::erase_if(mStates, [&](const auto& aOne) {
    return !mView.Contains(aOne.first, aOne.second.mIncarnation);
  });
}

bool GrantorLease::Answer(const InstanceName& aMember,
                          Incarnation aIncarnation,
                          TimePoint aNow)
{
  if (mIsStopped || !mView.Contains(aMember, aIncarnation) ||
      HasConfirmed(aMember, aIncarnation)) {
    return false;
  }
  auto& state = mStates[aMember];
  POLLENWAY_ASSERT(!state.mIsConfirmed,
                   "a confirmed eviction is never followed by a grant");
  state.mIncarnation = aIncarnation;
  state.mIsAnswered = true;
  state.mAnsweredAt = aNow;
  return true;
}

bool GrantorLease::Confirm(const InstanceName& aMember,
                           Incarnation aIncarnation,
                           TimePoint aNow)
{
  if (!mView.Contains(aMember, aIncarnation) ||
      aNow < mLastRemoval + mConfirmTime) {
    return false;
  }
  auto& state = mStates[aMember];
  if (state.mIsAnswered && aNow < state.mAnsweredAt + mConfirmTime) {
    return false;
  }
  state.mIncarnation = aIncarnation;
  state.mIsConfirmed = true;
  return true;
}

bool GrantorLease::HasConfirmed(const InstanceName& aMember,
                                Incarnation aIncarnation) const
{
  const auto it = mStates.find(aMember);
  return it != mStates.end() && it->second.mIncarnation == aIncarnation &&
         it->second.mIsConfirmed;
}

} // namespace pollenway
