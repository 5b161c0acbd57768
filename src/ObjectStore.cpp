#include "ObjectStore.h"

#include "Assert.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace pollenway {

namespace {

/// Limits the rate of reads while they return stale objects.
constexpr auto kMinRetryPause = std::chrono::milliseconds(5);

/// Returns true if the read is older than the conflict: after a conflict, the
/// object can't have the expected version or a lower one.
bool IsStaleRead(const StoredObject& aObject, const StoreCondition& aCondition)
{
  return aCondition.mVersion && aObject.mVersion <= *aCondition.mVersion;
}

} // namespace

Awaitable<StoreWrite> ObjectStore::PutConfirmed(std::string aKind,
                                                std::string aName,
                                                std::string aValue,
                                                StoreCondition aCondition,
                                                Duration aTimeout)
{
  POLLENWAY_ASSERT(aCondition.mAbsent || aCondition.mVersion,
                   "a confirmed write needs a condition");
  const auto executor = co_await asio::this_coro::executor;
  const TimePoint end = SteadyNow() + aTimeout;
  bool lostAnswer = false;
  for (;;) {
    StoreWrite write = co_await Put(aKind, aName, aValue, aCondition);
    lostAnswer = lostAnswer || write.mOutcome == WriteOutcome::Unknown;
    if (write.mOutcome == WriteOutcome::Conflict && lostAnswer) {
      auto found = co_await Get(aKind, aName);
      write.mOutcome = WriteOutcome::Unknown;
      if (found && !IsStaleRead(found.value(), aCondition)) {
        if (found.value().mValue == aValue) {
          write.mOutcome = WriteOutcome::Done;
          write.mVersion = found.value().mVersion;
        }
        co_return write;
      }
    }
    const bool retry = write.mOutcome == WriteOutcome::Unknown ||
                       (write.mOutcome == WriteOutcome::NotDone &&
                        write.mError.mCode == ResultCode::StoreUnavailable);
    const Duration pause = std::max<Duration>(RetryPause(), kMinRetryPause);
    if (!retry || SteadyNow() + pause >= end) {
      if (lostAnswer && write.mOutcome == WriteOutcome::NotDone) {
        write.mOutcome = WriteOutcome::Unknown;
      }
      co_return write;
    }
    ErrorCode ec;
    asio::steady_timer timer(executor, pause);
    co_await timer.async_wait(Into(ec));
  }
}

} // namespace pollenway
