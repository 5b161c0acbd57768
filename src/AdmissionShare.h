#pragma once

#include "Time.h"

namespace pollenway {

/// Which share of client blocks a region admits, from the demand and headroom
/// of all instances together. A block is admitted if its hash is below the
/// share, so a change of the share moves each block at most once, and who is
/// admitted does not depend on who asks first. Blocks whose first choice the
/// region is come before blocks that another region refused.
///
/// A share is lowered at once and raised slowly: only after 15 s without
/// lowering, and only if the headroom allows 8% more. This keeps blocks from
/// moving back and forth when measurements and summaries lag.
class AdmissionShare
{
public:
  /// Rates in requests/s, over all instances.
  struct Inputs
  {
    double mBudget = 0;
    double mFirstChoice = 0;
    double mSpilled = 0;
  };

  /// To be called about once a second.
  void Update(const Inputs& aInputs, TimePoint aNow);

  /// Takes the shares that another instance decides for all.
  void Adopt(double aFirstChoice, double aSpilled, TimePoint aNow);

  double FirstChoice() const { return mFirstChoice.mValue; }
  double Spilled() const { return mSpilled.mValue; }

private:
  struct Share
  {
    double mValue = 1;
    TimePoint mLoweredAt = TimePoint::min();

    void MoveTo(double aTarget, TimePoint aNow);
  };

  Share mFirstChoice;
  Share mSpilled;
};

} // namespace pollenway
