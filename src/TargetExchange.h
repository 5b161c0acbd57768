#pragma once

#include "HttpClientPool.h"
#include "PlatformAdapter.h"
#include "RetryPolicy.h"
#include "TargetState.h"

#include <memory>
#include <optional>
#include <string>

namespace pollenway {

/// How one attempt at a target ended.
struct TargetAnswer
{
  /// Empty if the target answered.
  std::optional<AttemptFailure> mFailure;
  /// Something of the request may have reached the target.
  bool mBytesSent = false;
  ResponseHeader mHeader;
  /// The first part of the body, all of it unless `mHasMore`.
  std::string mBody;
  bool mHasMore = false;
  std::string mDetail;
};

/// One attempt to have a request run by a target.
class TargetExchange
{
public:
  TargetExchange(HttpClientPool& aPool,
                 const PlatformAdapter& aPlatform,
                 std::shared_ptr<TargetState> aTarget);
  ~TargetExchange();

  /// Sends the request, not later than `aSendBy`, and reads the answer until
  /// `aDeadline`. Answers that
  /// don't belong to the request, and those without the target's signature
  /// that claim success, are not taken.
  Awaitable<TargetAnswer> Run(std::shared_ptr<const TextRequest> aRequest,
                              Duration aMaxIdleTime,
                              TimePoint aSendBy,
                              TimePoint aDeadline);
  /// Reads on after an answer with `mHasMore`; 0 at its end.
  Awaitable<Result<size_t>> ReadMore(char* aData,
                                     size_t aSize,
                                     TimePoint aDeadline);
  /// Ends the attempt: the target sees its connection close.
  void Cancel();
  bool IsCancelled() const { return mCancelled; }

private:
  Awaitable<bool> ReadOwnHeader(std::shared_ptr<const TextRequest> aRequest,
                                TimePoint aDeadline,
                                TargetAnswer& aAnswer);
  Awaitable<bool> SkipBody(TimePoint aDeadline);
  Awaitable<void> ReadBody(TimePoint aDeadline, TargetAnswer& aAnswer);
  bool IsSound(const TargetAnswer& aAnswer) const;
  void Fail(TargetAnswer& aAnswer,
            AttemptFailure aFailure,
            std::string aDetail) const;

  HttpClientPool& mPool;
  const PlatformAdapter& mPlatform;
  std::shared_ptr<TargetState> mTarget;
  tcp::endpoint mEndpoint;
  std::unique_ptr<HttpClientConnection> mConnection;
  bool mCancelled = false;
};

} // namespace pollenway
