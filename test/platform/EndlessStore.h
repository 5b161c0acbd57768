#pragma once

#include "CallerView.h"
#include "EndlessAnswers.h"
#include "ObjectStore.h"
#include "RunCoroutine.h"

#include <functional>
#include <memory>

namespace pollenway {

/// Makes `aWatches` watches, a listing and a write at the same time, at a store
/// that answers with bytes without end. Checks that each call is given up, and
/// that together they don't fill the memory.
inline void CheckEndlessStore(
  int aWatches,
  const std::function<std::unique_ptr<ObjectStore>(asio::any_io_executor,
                                                   tcp::endpoint)>& aMakeStore)
{
  // Half of what an instance may use for control, in KiB.
  constexpr uint64_t kMaxMemoryGrowth = 64 * 1024;
  for (const auto& row : EndlessAnswers()) {
    CAPTURE(row.mFault);
    asio::io_context io;
    RawTarget server(io.get_executor(),
                     [&](RawTarget::Connection& aConnection) {
                       return SendForever(aConnection, row);
                     });
    const auto store =
      aMakeStore(io.get_executor(),
                 { asio::ip::make_address("127.0.0.1"), server.Port() });
    const uint64_t before = ResidentKiB();
    uint64_t growth = 0;
    int open = 0;
    const auto watch = [&]() -> Awaitable<void> {
      ++open;
      const auto changes =
        co_await store->Watch("k", { {}, 1 }, std::chrono::milliseconds(100));
      CHECK_FALSE(changes);
      --open;
    };
    const auto list = [&]() -> Awaitable<void> {
      ++open;
      const auto listing = co_await store->List("k", ReadFreshness::Current);
      CHECK_FALSE(listing);
      --open;
    };
    const auto put = [&]() -> Awaitable<void> {
      ++open;
      const auto write = co_await store->Put("k", "n", "{}", {});
      CHECK(write.mOutcome != WriteOutcome::NotDone);
      --open;
    };
    RunCoroutine(io, [&]() -> Awaitable<void> {
      for (int n = 0; n < aWatches; ++n) {
        Spawn(io.get_executor(), watch());
      }
      Spawn(io.get_executor(), list());
      Spawn(io.get_executor(), put());
      do {
        asio::steady_timer timer(io, std::chrono::milliseconds(1));
        co_await timer.async_wait(asio::use_awaitable);
        growth = std::max(growth, std::max(ResidentKiB(), before) - before);
      } while (open > 0);
      CHECK(growth <= kMaxMemoryGrowth);
      server.Stop();
    });
  }
}

} // namespace pollenway
