#pragma once

#include "Ids.h"
#include "Time.h"

#include <string>

namespace pollenway {

/// One attempt of a request at a target, for `explain`.
struct DecisionAttempt
{
  TargetName mTarget;
  /// "answered", how it failed ("connect-failed" and so on) or the name of the
  /// result code with which an instance refused it.
  std::string mResult;
  Duration mDuration{};
};

} // namespace pollenway
