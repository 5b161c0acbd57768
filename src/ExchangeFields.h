#pragma once

#include <string>

namespace pollenway {

/// Names of the header fields that callers, instances and targets exchange.
struct ExchangeFields
{
  /// Caller's id of one attempt; the target repeats it in its answer.
  std::string mRequestId;
  /// Time that the caller, or the instance before it, still waits.
  std::string mDeadline;
  /// Cookie whose value names the object that a request concerns.
  std::string mObjectCookie;
  /// Set for the target: which target is meant.
  std::string mTargetName;
  /// Set for the target: the workspace of the caller's key.
  std::string mWorkspace;
  /// In a target's answer: proof that the target made it.
  std::string mSignature;
  /// In a target's answer: it did not start the request.
  std::string mNotRun;
  /// In a target's answer: its load.
  std::string mLoad;
  /// In a target's health answer: how long it stays cold.
  std::string mColdRemaining;
};

} // namespace pollenway
