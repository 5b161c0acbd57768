#pragma once

#include "DecisionRecord.h"
#include "HttpConnection.h"
#include "Ids.h"
#include "RequestFingerprint.h"
#include "Route.h"
#include "Time.h"

#include <functional>
#include <string>

namespace pollenway {

/// One caller's request on its way through an instance.
struct RequestContext
{
  /// Connection that the request came on: a caller's, or a peer's relay.
  HttpConnection& mSource;
  /// Chosen by the instance that the caller reached; unique over the fleet.
  std::string mId{};
  ServiceName mService{};
  RouteExecution mExecution = RouteExecution::AtMostOnce;
  /// Empty on routes open to all.
  WorkspaceName mWorkspace{};
  double mWeight = 1;
  TimePoint mDeadline{};
  Duration mIdleTimeout = std::chrono::seconds(30);
  /// Header to pass on, without key and hop-by-hop fields.
  RequestHeader mHeader{};
  /// The whole body, if it was small enough to keep.
  std::string mBody{};
  bool mBodyBuffered = false;
  /// Part of a body that was not kept has been passed on.
  bool mBodyConsumed = false;
  RequestFingerprint mFingerprint{};
  /// The caller closed its connection.
  bool mCallerGone = false;
  /// Stops the current stage; set while one is running.
  std::function<void()> mCancel{};
  /// What `explain` tells about the request; null for a relayed one.
  DecisionRecord* mRecord = nullptr;
};

/// Reads a small body whole and then watches for the caller's disconnect; a
/// larger one stays to be streamed. False if the body ended early.
Awaitable<bool> BufferSmallBody(RequestContext& aRequest);

} // namespace pollenway
