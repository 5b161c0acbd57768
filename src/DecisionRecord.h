#pragma once

#include "DecisionAttempt.h"
#include "ResultCode.h"
#include "TargetAssessment.h"

#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// How one caller's request was decided, step by step. Filled in while the
/// request runs; holds no key and no part of a body.
struct DecisionRecord
{
  std::string mId{};
  /// Empty on routes open to all, and if no key was accepted.
  WorkspaceName mWorkspace{};
  /// Empty if no route was found or the key was not accepted.
  ServiceName mService{};
  /// Path prefix of the route.
  std::string mRoute{};
  /// Answer of the workspace's account; none if it was not asked.
  std::optional<ResultCode> mAdmission{};
  /// What the home of the idempotency key answered: "run", "answer", "refuse"
  /// or "done"; empty if it was not asked.
  std::string mHomeStep{};
  std::vector<DecisionAttempt> mAttempts{};
  /// If no target was left to try: the first of them with the reasons.
  std::vector<TargetAssessment> mUnusable{};
  /// How the request ended. `Ok` if it was answered by a backend server or with
  /// a stored answer.
  ResultCode mCode = ResultCode::Ok;
  TimePoint mStarted{};
  TimePoint mEnded{};
};

} // namespace pollenway
