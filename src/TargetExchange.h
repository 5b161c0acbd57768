#pragma once

#include "ByteBudget.h"
#include "HttpClientPool.h"
#include "PlatformAdapter.h"
#include "RetryPolicy.h"
#include "TargetReachability.h"
#include "TargetState.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pollenway {

class TargetAnnouncements;

/// Result of one attempt at a target.
struct TargetAnswer
{
  /// Empty if the target answered.
  std::optional<AttemptFailure> mFailure;
  /// True if part of the request may have reached the target.
  bool mBytesSent = false;
  ResponseHeader mHeader;
  /// The first part of the body; the whole body unless `mHasMore`.
  std::string mBody;
  /// Memory of `mBody`.
  ByteBudget::Reservation mBodyMemory;
  bool mHasMore = false;
  std::string mDetail;
};

/// One attempt to run a request on a target, directly or through another
/// instance.
class TargetExchange
{
public:
  /// Makes the request when it is about to be written, so that its remaining
  /// time is current. Returns null if it must not be sent any more.
  using RequestSource = std::function<std::shared_ptr<const SharedRequest>()>;

  TargetExchange(HttpClientPool& aPool,
                 const PlatformAdapter& aPlatform,
                 TargetReachability& aReachability,
                 TargetAnnouncements& aAnnouncements,
                 std::shared_ptr<TargetState> aTarget);
  /// Makes an exchange with another instance, which chooses the target.
  TargetExchange(HttpClientPool& aPool,
                 const PlatformAdapter& aPlatform,
                 tcp::endpoint aPeer);
  ~TargetExchange();

  /// Sends the request by `aSendBy` and reads the answer until `aDeadline`.
  /// All conditions of sending are checked when a connection is available,
  /// directly before the first byte is written: sends nothing if the target is
  /// closed to this instance or `aSource` returns null.
  /// Rejects answers to other requests, and unsigned or encoded answers that
  /// report success.
  Awaitable<TargetAnswer> Run(const RequestSource& aSource,
                              Duration aMaxIdleTime,
                              TimePoint aSendBy,
                              TimePoint aDeadline);
  /// Reads the next part of an answer with `mHasMore`; returns 0 at its end.
  /// If the deadline has passed before it could read, it reads for a short time
  /// what has arrived.
  Awaitable<Result<size_t>> ReadMore(char* aData,
                                     size_t aSize,
                                     TimePoint aDeadline);
  /// Limits the memory of the answer's first part. If `aMemory` is used up, the
  /// part is shorter. Call before `Run`.
  void LimitMemory(ByteBudget& aMemory) { mMemory = &aMemory; }
  /// Cancels the attempt and closes its connection to the target.
  void Cancel();
  bool IsCancelled() const { return mCancelled; }
  /// Returns true if the request is sent to its target, not to another
  /// instance.
  bool IsDirect() const { return mTarget != nullptr; }

private:
  Awaitable<ErrorCode> ReadHeader(std::shared_ptr<const SharedRequest> aRequest,
                                  bool aIsFirst,
                                  TimePoint aDeadline);
  Awaitable<bool> ReadMatchingHeader(
    std::shared_ptr<const SharedRequest> aRequest,
    TimePoint aDeadline,
    TargetAnswer& aAnswer);
  Awaitable<bool> SkipBody(TimePoint aDeadline);
  Awaitable<void> ReadBody(TimePoint aDeadline, TargetAnswer& aAnswer);
  /// Makes room for `aBytes` more of the answer's body. Returns false if the
  /// memory is used up.
  bool ReserveMemory(TargetAnswer& aAnswer, size_t aBytes) const;
  bool IsValidAnswer(const TargetAnswer& aAnswer) const;
  /// Records what the target announces in the head of its answer.
  void ReadAnnouncements(const ResponseHeader& aHeader);
  void Fail(TargetAnswer& aAnswer,
            AttemptFailure aFailure,
            std::string aDetail) const;

  HttpClientPool& mPool;
  const PlatformAdapter& mPlatform;
  ByteBudget* mMemory = nullptr;
  /// Both are null, as `mTarget` is, if another instance chooses the target.
  TargetReachability* mReachability = nullptr;
  TargetAnnouncements* mAnnouncements = nullptr;
  std::shared_ptr<TargetState> mTarget;
  tcp::endpoint mEndpoint;
  std::unique_ptr<HttpClientConnection> mConnection;
  /// Time at which the request was sent.
  TimePoint mSentAt{};
  /// End of reading after a deadline that passed before; not set without one.
  TimePoint mLateUntil{};
  bool mCancelled = false;
};

} // namespace pollenway
