#pragma once

#include "ResultCode.h"
#include "Time.h"

namespace pollenway {

/// How one attempt to send a request ended.
struct AttemptResult
{
  enum class Kind
  {
    Answered,
    NotRun,        ///< Refused with the outcome "not-run".
    Unknown,       ///< Refused with the outcome "unknown".
    Ran,           ///< Refused with the outcome "ran".
    OtherStatus,   ///< A status above 299 without an outcome.
    Mismatched,    ///< A whole answer to something else.
    ConnectFailed, ///< Nothing was sent.
    Broken,        ///< The connection failed after something was sent.
    Cut,           ///< The answer began and wasn't complete.
  };

  Kind mKind = Kind::ConnectFailed;
  ResultCode mCode = ResultCode::Ok;
  unsigned mStatus = 0;
  Duration mRetryAfter = std::chrono::milliseconds(200);
  bool mReusedConnection = false;
};

} // namespace pollenway
