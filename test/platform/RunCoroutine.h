#pragma once

#include "HttpTypes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace pollenway {

/// Runs a test's coroutine and fails if it throws or does not end in time.
template<typename Test>
void RunCoroutine(asio::io_context& aIo, Test aTest)
{
  bool done = false;
  asio::co_spawn(
    aIo,
    [&]() -> Awaitable<void> {
      co_await aTest();
      done = true;
    },
    [&](std::exception_ptr aException) {
      aIo.stop();
      if (aException) {
        std::rethrow_exception(aException);
      }
    });
  aIo.run_for(std::chrono::seconds(60));
  CHECK(done);
}

} // namespace pollenway
