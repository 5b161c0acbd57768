#pragma once

#include "HttpClientConnection.h"
#include "SteadyTime.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <string>

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
inline Awaitable<CallerView> Ask(asio::any_io_executor aExecutor,
                                 tcp::endpoint aEndpoint,
                                 TextRequest aRequest)
{
  CallerView out;
  const TimePoint begin = SteadyNow();
  const uint64_t memory = ResidentKiB();
  HttpClientConnection client(aExecutor);
  const auto time = std::chrono::seconds(6);
  auto connected = co_await client.Connect(aEndpoint, time);
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

} // namespace pollenway
