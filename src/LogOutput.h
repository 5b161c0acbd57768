#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

/// Buffers log lines for a file descriptor and never blocks on its reader.
/// Lines that don't fit into the buffer are dropped and counted.
class LogOutput
{
public:
  struct Options
  {
    int mDescriptor = 1;
    /// Capacity of the buffer; about a thousand lines.
    size_t mMaxBufferBytes = 256 * 1024;
    /// `Add` flushes a buffer of at least this size.
    size_t mFlushThresholdBytes = 4096;
  };

  explicit LogOutput(Options aOptions);
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  /// Appends one line, which includes the line end.
  void Add(std::string_view aLine);
  /// Writes as much as the descriptor accepts without blocking.
  void Flush();
  uint64_t Dropped() const { return mDropped; }

private:
  Options mOptions;
  std::string mBuffer;
  uint64_t mDropped = 0;
  uint64_t mReportedDropped = 0;
};

} // namespace pollenway
