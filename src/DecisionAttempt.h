#pragma once

#include "Ids.h"
#include "Time.h"

#include <string>

namespace pollenway {

/// One attempt to run a request on a target, as reported by `explain`.
struct DecisionAttempt
{
  TargetName mTarget;
  /// "answered", the kind of failure ("connect-failed" and so on), or the name
  /// of the result code with which an instance refused the attempt.
  std::string mResult;
  Duration mDuration{};
};

} // namespace pollenway
