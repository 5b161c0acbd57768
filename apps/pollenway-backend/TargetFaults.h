#pragma once

#include "Time.h"

namespace pollenway {

/// Injected faults of one stand-in target. They can be changed at run time.
struct TargetFaults
{
  /// Every request is answered with 500 and not executed.
  bool mFailing = false;
  /// The health endpoint always reports "live" and no load.
  bool mMisleadingHealth = false;
  /// Delay between the end of the work and the answer; the deadline is ignored.
  Duration mAnswerDelay{};
  /// Probability that an answer carries the request id and echo value of an
  /// earlier request.
  double mCrossAnswers = 0;
  /// Probability that the connection is closed in the middle of an answer.
  double mCutAnswers = 0;
  /// Multiplies the service time.
  double mSlowdown = 1;
};

} // namespace pollenway
