#pragma once

#include "ShareView.h"
#include "Time.h"

#include <map>

namespace pollenway {

/// The fraction of its zone's headroom that an instance owns: 1 divided by the
/// number of members of the zone view. The members' fractions never add up to
/// more than 1, even while a view is being distributed: a smaller fraction
/// applies immediately, a larger one only after every other member has
/// confirmed the view and answers of members that left have expired. A member
/// confirms a view when its own answers fit its fraction under that view.
class HeadroomShare
{
public:
  /// `aMaxLifetime` is the maximum lifetime of an answer.
  HeadroomShare(ShareMember aSelf, Duration aMaxLifetime);

  /// Applies a view with a higher number; ignores others.
  void ApplyView(const ShareView& aView, TimePoint aNow);

  /// Called for a member's heartbeat, which contains the view that the member
  /// has confirmed.
  void OnConfirmed(const ShareMember& aPeer, uint64_t aView, TimePoint aNow);

  /// Raises the fraction if the conditions of the view are now met.
  void Update(TimePoint aNow);

  /// Returns the view to confirm in heartbeats. `aIsWithinFraction` is true if
  /// all unexpired answers and loans fit the own fraction.
  uint64_t Confirm(bool aIsWithinFraction, TimePoint aNow);

  double Fraction() const { return mFraction; }
  /// Returns true if the fraction is that of the view; false while a raise is
  /// pending.
  bool IsSettled() const { return mIsSettled; }

private:
  ShareMember mSelf;
  Duration mMaxLifetime;
  ShareView mView;
  std::map<ShareMember, uint64_t> mConfirmedBy;
  /// Until this time, answers of members that left may be unexpired.
  TimePoint mFormerAnswersUntil = TimePoint::min();
  /// Until this time, own answers from before the view may be unexpired.
  TimePoint mOwnAnswersUntil = TimePoint::min();
  uint64_t mConfirmed = 0;
  double mFraction = 0;
  bool mIsSettled = false;
};

} // namespace pollenway
