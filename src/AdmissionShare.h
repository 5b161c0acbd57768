#pragma once

#include "Time.h"

namespace pollenway {

/// Computes the share of client blocks that a region admits from the demand and
/// headroom of all instances. A block is admitted if its hash is below the
/// share, so a change of the share moves each block at most once, and admission
/// does not depend on the order of look-ups. Blocks whose first choice is this
/// region take precedence over blocks that another region refused.
///
/// A share is lowered immediately and raised slowly: only after 15 s without
/// lowering, and only if the headroom allows 8% more. This hysteresis prevents
/// blocks from moving back and forth when measurements and summaries lag.
class AdmissionShare
{
public:
  /// Rates in requests/s, summed over all instances.
  struct Inputs
  {
    double mBudget = 0;
    double mFirstChoice = 0;
    double mSpilled = 0;
  };

  /// Updates the shares. Called about once a second.
  void Update(const Inputs& aInputs, TimePoint aNow);

  /// Sets the shares that another instance decided for all instances.
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
