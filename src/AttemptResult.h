#pragma once

#include "HttpTypes.h"
#include "RetryPolicy.h"
#include "Time.h"

#include <optional>

namespace pollenway {

/// Result of one attempt to run a request.
struct AttemptResult
{
  /// Set if the attempt failed at the backend server or on the way to it.
  std::optional<AttemptFailure> mFailure{};
  /// Other than `Ok` if an instance refused the request as not run.
  ResultCode mRefusal = ResultCode::Ok;
  Duration mRetryAfter{};
  /// True if any byte was sent to the backend server, or if this is unknown.
  bool mBytesSent = false;
  /// True if part of an answer has been passed to the caller.
  bool mAnswerStarted = false;
  /// The whole answer, unless it was streamed.
  TextResponse mAnswer{};
  bool mStreamed = false;

  bool IsAnswered() const { return !mFailure && mRefusal == ResultCode::Ok; }
};

} // namespace pollenway
