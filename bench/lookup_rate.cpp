// Sends look-ups to one running entry instance over persistent connections,
// each when the previous one is answered. Prints the answers per second and per
// second of the instance's processor time.
// usage: lookup_rate --entry ADDRESS:PORT --pid PID [--service S]

#include "HttpClientConnection.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

DEFINE_string(entry, "127.0.0.1:8080", "caller port of the entry instance");
DEFINE_int32(pid, 0, "process id of the entry instance");
DEFINE_string(service, "lookup", "service to look up");
DEFINE_uint32(connections, 16, "connections");
DEFINE_uint32(seconds, 8, "time to send look-ups, in seconds");

namespace {

using namespace pollenway;

constexpr auto kTimeout = std::chrono::seconds(5);

struct Counts
{
  uint64_t mAnswered = 0;
  uint64_t mRefused = 0;
  uint64_t mFailed = 0;
};

/// Returns the processor time of a process in seconds, from /proc/PID/stat.
double ProcessorSeconds(int aPid)
{
  std::ifstream in("/proc/" + std::to_string(aPid) + "/stat");
  std::string text;
  std::getline(in, text);
  // The program name may contain spaces, so fields are counted after it.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string field;
  double ticks = 0;
  for (int i = 3; i <= 15 && fields >> field; ++i) {
    ticks += i >= 14 ? std::stod(field) : 0;
  }
  return ticks / double(sysconf(_SC_CLK_TCK));
}

Awaitable<void> Send(asio::io_context& aIo,
                     tcp::endpoint aEndpoint,
                     TimePoint aEnd,
                     Counts& aCounts)
{
  HttpClientConnection connection(aIo.get_executor());
  auto connected = co_await connection.Connect(aEndpoint, kTimeout);
  std::string buf(4096, '\0');
  while (connected && SteadyNow() < aEnd) {
    TextRequest request(
      http::verb::get, "/.pollenway/lookup?service=" + FLAGS_service, 11);
    request.set(http::field::host, aEndpoint.address().to_string());
    ErrorCode ec = co_await connection.Write(std::move(request), kTimeout);
    if (!ec) {
      ec = co_await connection.ReadHeader(kTimeout);
    }
    if (ec) {
      ++aCounts.mFailed;
      co_return;
    }
    const bool isOk = connection.Header().result() == http::status::ok;
    aCounts.mAnswered += isOk ? 1 : 0;
    aCounts.mRefused += isOk ? 0 : 1;
    for (;;) {
      auto n = co_await connection.ReadSome(buf.data(), buf.size(), kTimeout);
      if (!n || n.value() == 0) {
        break;
      }
    }
  }
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage("measures the look-up rate of one entry instance");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const size_t colon = FLAGS_entry.rfind(':');
  const tcp::endpoint endpoint(
    asio::ip::make_address(FLAGS_entry.substr(0, colon)),
    uint16_t(std::stoul(FLAGS_entry.substr(colon + 1))));
  asio::io_context io(1);
  Counts counts;
  const TimePoint start = SteadyNow();
  const double before = ProcessorSeconds(FLAGS_pid);
  for (unsigned i = 0; i < FLAGS_connections; ++i) {
    Spawn(
      io,
      Send(io, endpoint, start + std::chrono::seconds(FLAGS_seconds), counts));
  }
  io.run();
  const double seconds = ToSeconds(SteadyNow() - start);
  const double processorSeconds = ProcessorSeconds(FLAGS_pid) - before;
  const double answers = double(counts.mAnswered + counts.mRefused);
  std::cout << "answered=" << counts.mAnswered << " refused=" << counts.mRefused
            << " failed=" << counts.mFailed
            << " per_second=" << answers / seconds
            << " core_share=" << processorSeconds / seconds
            << " per_core_second="
            << (processorSeconds > 0 ? answers / processorSeconds : 0) << "\n";
  return counts.mFailed == 0 ? 0 : 1;
}
