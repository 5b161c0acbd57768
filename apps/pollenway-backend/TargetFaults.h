#pragma once

#include "Time.h"

namespace pollenway {

/// Misbehaviour of one stand-in target, set at run time.
struct TargetFaults
{
  /// Answers each request with 500 without running it.
  bool mFailing = false;
  /// The health endpoint reports "live" without load, whatever is the case.
  bool mMisleadingHealth = false;
  /// Delay of each answer after the work is done, in spite of its deadline.
  Duration mAnswerDelay{};
  /// Probability that an answer carries the ids of an earlier request.
  double mCrossAnswers = 0;
  /// Probability that the connection is closed in the middle of an answer.
  double mCutAnswers = 0;
  /// Multiplies the service time.
  double mSlowdown = 1;
};

} // namespace pollenway
