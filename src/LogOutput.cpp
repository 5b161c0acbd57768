#include "LogOutput.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace pollenway {

LogOutput::LogOutput(Options aOptions)
  : mOptions(aOptions)
{
}

LogOutput::~LogOutput()
{
  Flush();
}

void LogOutput::Add(std::string_view aLine)
{
  if (mBuffer.size() + aLine.size() > mOptions.mMaxBufferBytes) {
    ++mDropped;
    return;
  }
  if (mReportedDropped < mDropped) {
    mBuffer += "event=log_lines_dropped count=" +
               std::to_string(mDropped - mReportedDropped) + "\n";
    mReportedDropped = mDropped;
  }
  mBuffer += aLine;
  if (mBuffer.size() >= mOptions.mFlushThresholdBytes) {
    Flush();
  }
}

void LogOutput::Flush()
{
  size_t written = 0;
  while (written < mBuffer.size()) {
    pollfd entry{ mOptions.mDescriptor, POLLOUT, 0 };
    if (poll(&entry, 1, 0) != 1 || !(entry.revents & POLLOUT)) {
      break;
    }
    // A write of at most `PIPE_BUF` bytes to a pipe that is ready does not
    // block.
    const size_t n = std::min<size_t>(mBuffer.size() - written, PIPE_BUF);
    const ssize_t done =
      write(mOptions.mDescriptor, mBuffer.data() + written, n);
    if (done <= 0) {
      break;
    }
    written += size_t(done);
  }
  mBuffer.erase(0, written);
}

} // namespace pollenway
