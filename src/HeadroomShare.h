#pragma once

#include "ShareView.h"
#include "Time.h"

#include <map>

namespace pollenway {

/// The fraction of its zone's headroom that an instance owns: 1 over the number
/// of members of the zone view, so that the members' fractions never add up to
/// more than 1 while views spread. A smaller fraction applies at once; a larger
/// one only after every other member has confirmed the view, and answers of
/// members that left have expired. A member confirms a view when its own
/// answers fit its fraction under that view.
class HeadroomShare
{
public:
  /// `aMaxLifetime` is the longest time for which an answer counts.
  HeadroomShare(ShareMember aSelf, Duration aMaxLifetime);

  /// Takes a view with a higher number; ignores others.
  void ApplyView(const ShareView& aView, TimePoint aNow);

  /// A member's heartbeat names the view that it has confirmed.
  void OnConfirmed(const ShareMember& aPeer, uint64_t aView, TimePoint aNow);

  /// Raises the fraction if the view allows it by now.
  void Update(TimePoint aNow);

  /// The view to confirm in heartbeats. `aIsWithinFraction`: all unexpired
  /// answers and loans are within the own fraction.
  uint64_t Confirm(bool aIsWithinFraction, TimePoint aNow);

  double Fraction() const { return mFraction; }
  /// Whether the fraction is the view's; false while a raise waits.
  bool IsSettled() const { return mIsSettled; }

private:
  ShareMember mSelf;
  Duration mMaxLifetime;
  ShareView mView;
  std::map<ShareMember, uint64_t> mConfirmedBy;
  /// Until then, answers of members that left may be unexpired.
  TimePoint mFormerAnswersUntil = TimePoint::min();
  /// Until then, own answers from before the view may be unexpired.
  TimePoint mOwnAnswersUntil = TimePoint::min();
  uint64_t mConfirmed = 0;
  double mFraction = 0;
  bool mIsSettled = false;
};

} // namespace pollenway
