#pragma once

#include "CallerView.h"
#include "GatewayFixture.h"
#include "RawTarget.h"

namespace pollenway {

/// Sends one request to the gateway and reads the answer without keeping it.
inline Awaitable<CallerView> Ask(GatewayFixture& aFixture, TextRequest aRequest)
{
  auto out = co_await Ask(
    aFixture.mIo.get_executor(),
    { asio::ip::make_address("127.0.0.1"), aFixture.mServer->CallerPort() },
    std::move(aRequest));
  co_return out;
}

/// Runs a test against a gateway whose only target is a `RawTarget`.
inline void RunWithRawTarget(
  RawTarget::Script aScript,
  const std::function<Awaitable<void>(GatewayFixture&, RawTarget&)>& aTest,
  uint64_t aMemoryBytes = GatewaySettings().mMemoryBytes)
{
  GatewayFixture fixture(0);
  fixture.mSettings.mMemoryBytes = aMemoryBytes;
  RawTarget target(fixture.mIo.get_executor(), std::move(aScript));
  fixture.mStoreServer.Set("config", "main", fixture.Configuration("00000005"));
  fixture.mStoreServer.Set(
    "servers",
    "i-0",
    { { "service", "s" },
      { "address", "127.0.0.1:" + std::to_string(target.Port()) },
      { "zone", "z" },
      { "version", "v1" },
      { "slots", 4 },
      { "state", "ready" },
      { "coldRemainingS", 0 },
      { "sequence", 1 } });
  fixture.Run([&]() -> Awaitable<void> {
    co_await aTest(fixture, target);
    target.Stop();
  });
}

/// Registers one raw target under many names, so that a failure, after which a
/// target is not used for some time, does not end the test's requests.
inline void RegisterOften(GatewayFixture& aFixture,
                          const RawTarget& aTarget,
                          int aNames)
{
  for (int n = 0; n < aNames; ++n) {
    aFixture.mStoreServer.Set(
      "servers",
      "i-" + std::to_string(n),
      { { "service", "s" },
        { "address", "127.0.0.1:" + std::to_string(aTarget.Port()) },
        { "zone", "z" },
        { "version", "v1" },
        { "slots", 4 },
        { "state", "ready" },
        { "coldRemainingS", 0 },
        { "sequence", 1 } });
  }
}

} // namespace pollenway
