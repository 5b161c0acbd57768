#pragma once

#include "ResultCode.h"
#include "Time.h"

namespace pollenway {

/// Result of one attempt to send a request.
struct AttemptResult
{
  enum class Kind
  {
    Answered,
    NotRun,        ///< Refused with outcome "not-run".
    Unknown,       ///< Refused with outcome "unknown".
    Ran,           ///< Refused with outcome "ran".
    OtherStatus,   ///< Any other status than 200, without an outcome.
    Mismatched,    ///< A complete answer that doesn't match the request.
    ConnectFailed, ///< Nothing was sent.
    Broken,        ///< The connection failed after something was sent.
    Cut,           ///< The answer started but was incomplete.
  };

  Kind mKind = Kind::ConnectFailed;
  ResultCode mCode = ResultCode::Ok;
  unsigned mStatus = 0;
  Duration mRetryAfter = std::chrono::milliseconds(200);
  bool mReusedConnection = false;
};

} // namespace pollenway
