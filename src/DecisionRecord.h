#pragma once

#include "DecisionAttempt.h"
#include "ResultCode.h"
#include "TargetAssessment.h"

#include <optional>
#include <string>
#include <vector>

namespace pollenway {

/// The steps by which one caller's request was decided. Filled in while the
/// request is processed. Contains neither API keys nor parts of a body.
struct DecisionRecord
{
  std::string mId{};
  /// Empty on routes that need no key, and if the key was not accepted.
  WorkspaceName mWorkspace{};
  /// Empty if no route matched or the key was not accepted.
  ServiceName mService{};
  /// Path prefix of the route.
  std::string mRoute{};
  /// Answer of the workspace's account to the admission request; empty if none
  /// was sent.
  std::optional<ResultCode> mAdmission{};
  /// Answer of the idempotency key's home: "run", "answer", "refuse" or "done";
  /// empty if no request was sent to it.
  std::string mHomeStep{};
  std::vector<DecisionAttempt> mAttempts{};
  /// The first unusable targets with the reasons; set only if no target was
  /// left to try.
  std::vector<TargetAssessment> mUnusable{};
  /// Final result of the request: `Ok` if a backend server answered it or a
  /// stored answer was returned.
  ResultCode mCode = ResultCode::Ok;
  TimePoint mStartedAt{};
  TimePoint mEndedAt{};
};

} // namespace pollenway
