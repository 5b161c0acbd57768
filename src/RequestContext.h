#pragma once

#include "DecisionRecord.h"
#include "HttpConnection.h"
#include "Ids.h"
#include "RequestFingerprint.h"
#include "ResultCode.h"
#include "Route.h"
#include "Time.h"

#include <functional>
#include <string>

namespace pollenway {

/// State of one caller's request while an instance processes it.
struct RequestContext
{
  /// Connection that the request was received on: of a caller, or of a peer
  /// that relays it.
  HttpConnection& mSource;
  /// Assigned by the instance that received the request from the caller; unique
  /// in the fleet.
  std::string mId{};
  ServiceName mService{};
  RouteExecution mExecution = RouteExecution::AtMostOnce;
  /// Empty for routes without authentication.
  WorkspaceName mWorkspace{};
  double mWeight = 1;
  TimePoint mDeadline{};
  /// A stop of the instance limits `mDeadline`; the caller may have more time.
  bool mLimitedByStop = false;
  Duration mIdleTimeout = std::chrono::seconds(30);
  /// Header to forward, without the API key and hop-by-hop fields.
  RequestHeader mHeader{};
  /// The complete body, if it was small enough to buffer.
  std::string mBody{};
  bool mBodyBuffered = false;
  /// Part of a body that was not buffered has been forwarded.
  bool mBodyConsumed = false;
  RequestFingerprint mFingerprint{};
  /// The caller closed its connection.
  bool mCallerGone = false;
  /// Cancels the current stage of processing; null if none can be cancelled.
  std::function<void()> mCancel{};
  /// Decisions reported by `explain`; null for a relayed request.
  DecisionRecord* mRecord = nullptr;

  /// Returns true if the stop of the instance has ended the request.
  bool IsEndedByStop(TimePoint aNow) const
  {
    return mLimitedByStop && aNow >= mDeadline;
  }
  /// Returns the code of the refusal for a result: `Stopping` in place of
  /// `DeadlineBeforeStart` if the deadline is that of the stop.
  ResultCode RefusalCode(ResultCode aResult) const
  {
    return mLimitedByStop && aResult == ResultCode::DeadlineBeforeStart
             ? ResultCode::Stopping
             : aResult;
  }
};

/// Reads a small body completely and then watches for the caller's disconnect.
/// A larger body is left to be streamed. Returns false if the body was
/// truncated.
Awaitable<bool> BufferSmallBody(RequestContext& aRequest);

} // namespace pollenway
