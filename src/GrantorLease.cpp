#include "GrantorLease.h"

#include "Assert.h"

namespace pollenway {

void GrantorLease::AdoptView(const ZoneView& aView, TimePoint aNow)
{
  POLLENWAY_ASSERT(aView.mNumber >= mView.mNumber, "the view number decreased");
  // A skipped view may have listed a grantor that this member never saw.
  bool isRemoval = mView.mNumber == 0 || aView.mNumber > mView.mNumber + 1;
  for (const auto& it : mView.mMembers) {
    isRemoval |= !aView.Contains(it.mName, it.mIncarnation);
  }
  if (isRemoval) {
    mLastRemovalAt = aNow;
  }
  mView = aView;
  // A removed incarnation never returns, so its state is not needed.
  std::erase_if(mStates, [&](const auto& aEntry) {
    return !mView.Contains(aEntry.first, aEntry.second.mIncarnation);
  });
}

bool GrantorLease::GrantLease(const InstanceName& aMember,
                              Incarnation aIncarnation,
                              TimePoint aNow)
{
  if (mIsStopped || !mView.Contains(aMember, aIncarnation) ||
      HasConfirmedEviction(aMember, aIncarnation)) {
    return false;
  }
  auto& state = mStates[aMember];
  POLLENWAY_ASSERT(!state.mIsEvictionConfirmed,
                   "a lease is granted after the eviction was confirmed");
  state.mIncarnation = aIncarnation;
  state.mHasGranted = true;
  state.mLastGrantAt = aNow;
  return true;
}

bool GrantorLease::ConfirmEviction(const InstanceName& aMember,
                                   Incarnation aIncarnation,
                                   TimePoint aNow)
{
  if (!mView.Contains(aMember, aIncarnation) ||
      aNow < mLastRemovalAt + mConfirmDelay) {
    return false;
  }
  auto& state = mStates[aMember];
  if (state.mHasGranted && aNow < state.mLastGrantAt + mConfirmDelay) {
    return false;
  }
  state.mIncarnation = aIncarnation;
  state.mIsEvictionConfirmed = true;
  return true;
}

bool GrantorLease::HasConfirmedEviction(const InstanceName& aMember,
                                        Incarnation aIncarnation) const
{
  const auto it = mStates.find(aMember);
  return it != mStates.end() && it->second.mIncarnation == aIncarnation &&
         it->second.mIsEvictionConfirmed;
}

} // namespace pollenway
