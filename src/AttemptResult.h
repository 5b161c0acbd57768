#pragma once

#include "HttpTypes.h"
#include "RetryPolicy.h"
#include "Time.h"

#include <optional>

namespace pollenway {

/// How one attempt to have a request run ended.
struct AttemptResult
{
  /// Set if the attempt failed at or on the way to the backend server.
  std::optional<AttemptFailure> mFailure{};
  /// Other than `Ok` if an instance refused the request as not run.
  ResultCode mRefusal = ResultCode::Ok;
  Duration mRetryAfter{};
  /// Whether any byte was sent to the backend server. True if not known.
  bool mBytesSent = false;
  /// Part of an answer has been passed to the caller.
  bool mAnswerStarted = false;
  /// The whole answer, unless it was streamed.
  TextResponse mAnswer{};
  bool mStreamed = false;

  bool IsAnswered() const { return !mFailure && mRefusal == ResultCode::Ok; }
};

} // namespace pollenway
