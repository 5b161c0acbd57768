#pragma once

#include "GatewayFixture.h"
#include "RawTarget.h"

#include <fstream>

namespace pollenway {

inline uint64_t ResidentKiB()
{
  std::ifstream file("/proc/self/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoull(line.substr(6));
    }
  }
  return 0;
}

/// What a caller saw of one answer.
struct CallerView
{
  unsigned mStatus = 0;
  bool mIsComplete = false;
  size_t mBytes = 0;
  std::string mBodyStart;
  Duration mTime{};
  uint64_t mMemoryGrowth = 0;
};

/// Sends one request and reads the answer without keeping it.
inline Awaitable<CallerView> Ask(GatewayFixture& aFixture, TextRequest aRequest)
{
  CallerView out;
  const TimePoint begin = SteadyNow();
  const uint64_t memory = ResidentKiB();
  HttpClientConnection client(aFixture.mIo.get_executor());
  const auto time = std::chrono::seconds(6);
  auto connected = co_await client.Connect(
    { asio::ip::make_address("127.0.0.1"), aFixture.mServer->CallerPort() },
    time);
  REQUIRE(connected);
  aRequest.prepare_payload();
  ErrorCode ec = co_await client.Write(std::move(aRequest), time);
  if (!ec) {
    ec = co_await client.ReadHeader(time);
  }
  if (!ec) {
    out.mStatus = client.Header().result_int();
    static char buf[64 * 1024];
    while (SteadyNow() - begin < time) {
      auto n = co_await client.ReadSome(buf, sizeof(buf), time);
      out.mMemoryGrowth =
        std::max(out.mMemoryGrowth, std::max(ResidentKiB(), memory) - memory);
      if (!n || n.value() == 0) {
        out.mIsComplete = bool(n);
        break;
      }
      out.mBytes += n.value();
      if (out.mBodyStart.size() < 64) {
        out.mBodyStart.append(buf, std::min<size_t>(n.value(), 64));
      }
    }
  }
  out.mMemoryGrowth =
    std::max(out.mMemoryGrowth, std::max(ResidentKiB(), memory) - memory);
  out.mTime = SteadyNow() - begin;
  co_return out;
}

/// Runs a test against a gateway whose only target is a `RawTarget`.
inline void RunWithRawTarget(
  RawTarget::Script aScript,
  const std::function<Awaitable<void>(GatewayFixture&, RawTarget&)>& aTest)
{
  GatewayFixture fixture(0);
  RawTarget target(fixture.mIo.get_executor(), std::move(aScript));
  fixture.mStoreServer.Set("config", "main", fixture.Configuration("00000005"));
  fixture.mStoreServer.Set(
    "servers",
    "i-0",
    { { "service", "s" },
      { "address", "127.0.0.1:" + std::to_string(target.Port()) },
      { "zone", "z" },
      { "slots", 4 },
      { "state", "ready" },
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
        { "slots", 4 },
        { "state", "ready" },
        { "sequence", 1 } });
  }
}

} // namespace pollenway
