#include "LogOutput.h"
#include "LogRateLimit.h"
#include "Logger.h"

#include "../GatewaySamples.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

using namespace pollenway;

// Guards against a process that blocks on the reader of its log, and against
// dropped lines that are not counted in the log.
TEST_CASE("lines are dropped if the reader stops, without blocking")
{
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  LogOutput output({ .mDescriptor = ends[1], .mMaxBufferBytes = 10'000 });
  const std::string line = std::string(99, 'x') + "\n";
  // The pipe holds 64 KiB, the buffer 10,000 bytes.
  for (int n = 0; n < 2000; ++n) {
    output.Add(line);
  }
  CHECK(output.Dropped() > 1000);
  std::string read(1 << 20, '\0');
  REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
  const auto drain = [&] {
    std::string out;
    for (ssize_t n; (n = ::read(ends[0], read.data(), read.size())) > 0;) {
      out.append(read.data(), size_t(n));
    }
    return out;
  };
  std::string received = drain();
  output.Flush();
  received += drain();
  output.Add(line);
  output.Flush();
  received += drain();
  CHECK(received.find("event=log_lines_dropped count=" +
                      std::to_string(output.Dropped())) != std::string::npos);
  CHECK(received.ends_with(line));
  close(ends[0]);
  close(ends[1]);
}

// Guards against a volume of log lines that grows with the load.
TEST_CASE("lines beyond the limit per second are suppressed and counted")
{
  LogRateLimit limit(3);
  int allowed = 0;
  for (int n = 0; n < 10; ++n) {
    allowed += limit.Allow(sample::At(0.01 * n));
  }
  CHECK(allowed == 3);
  CHECK(limit.TakeSuppressed() == 7);
  CHECK(limit.TakeSuppressed() == 0);
  CHECK(limit.Allow(sample::At(1)));
}

// Guards against a logger that crashes at its first line.
TEST_CASE("the bounded logger writes lines")
{
  InitBoundedLogging(LogLevel::Info, "test");
  Log(LogLevel::Info, "test_event", { { "key", "some value" } });
  Log(LogLevel::Debug, "left_out", {});
  FlushLogs();
  InitLogging(LogLevel::Error, "test");
}
