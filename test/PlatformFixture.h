#pragma once

#include "../apps/pollenway-platform/PlatformServer.h"
#include "StoreClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace pollenway {

/// A stand-in for the platform on a free loopback port, and a store client
/// connected to it.
struct PlatformFixture
{
  PlatformFixture()
    : mServer(mIo.get_executor(), ServerOptions())
  {
    REQUIRE(mServer.Listen("127.0.0.1", 0));
    mClient.emplace(mIo.get_executor(), ClientOptions());
  }

  static PlatformServer::Options ServerOptions()
  {
    PlatformServer::Options options;
    options.mSeed = 5;
    options.mInstanceListLag = Duration::zero();
    options.mHistory = 100;
    return options;
  }

  StoreClient::Options ClientOptions()
  {
    StoreClient::Options options;
    options.mEndpoint =
      tcp::endpoint(asio::ip::make_address("127.0.0.1"), mServer.Port());
    options.mBackoff.mInitialDelay = std::chrono::milliseconds(1);
    options.mBackoff.mMaxDelay = std::chrono::milliseconds(4);
    return options;
  }

  /// Runs the test's coroutine to completion.
  template<typename Test>
  void Run(Test aTest)
  {
    bool done = false;
    asio::co_spawn(
      mIo,
      [&]() -> Awaitable<void> {
        co_await aTest();
        done = true;
        mServer.Stop();
      },
      asio::detached);
    mIo.run();
    CHECK(done);
  }

  asio::io_context mIo;
  PlatformServer mServer;
  std::optional<StoreClient> mClient;
};

} // namespace pollenway
