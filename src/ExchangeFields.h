#pragma once

#include <string>

namespace pollenway {

/// Names of the header fields that callers, instances and targets exchange.
struct ExchangeFields
{
  /// The caller's id of one attempt; the target repeats it in its answer.
  std::string mRequestId;
  /// Time for which the caller, or the forwarding instance, still waits.
  std::string mDeadline;
  /// Cookie whose value identifies the object that a request refers to.
  std::string mObjectCookie;
  /// Sent to the target: the name of the intended target.
  std::string mTargetName;
  /// Sent to the target: the workspace of the caller's key.
  std::string mWorkspace;
  /// In a target's answer: the signature that proves that the target produced
  /// it.
  std::string mSignature;
  /// In a target's answer: the target did not start the request.
  std::string mNotRun;
  /// In a target's answer: the target is leaving.
  std::string mLeaving;
  /// In a target's answer: the target's load.
  std::string mLoad;
  /// In a target's answer to a health check: the remaining time of its cold
  /// start.
  std::string mColdRemaining;
};

} // namespace pollenway
