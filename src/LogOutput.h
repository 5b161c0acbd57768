#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

/// Buffers log lines for a file descriptor and never waits for its reader:
/// lines that find the buffer full are dropped and counted.
class LogOutput
{
public:
  struct Options
  {
    int mDescriptor = 1;
    /// About a thousand lines.
    size_t mMaxBufferBytes = 256 * 1024;
    /// From this size on the buffer is written without waiting for `Flush`.
    size_t mFlushThresholdBytes = 4096;
  };

  explicit LogOutput(Options aOptions);
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  /// Takes one line with its line end.
  void Add(std::string_view aLine);
  /// Writes as much as the descriptor takes without waiting.
  void Flush();
  uint64_t Dropped() const { return mDropped; }

private:
  Options mOptions;
  std::string mBuffer;
  uint64_t mDropped = 0;
  uint64_t mReportedDropped = 0;
};

} // namespace pollenway
