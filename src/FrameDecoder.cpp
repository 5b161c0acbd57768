#include "FrameDecoder.h"

#include "PeerMessage.h"

namespace pollenway {

namespace {

/// Capacity that the buffer keeps when it has become empty.
constexpr size_t kMaxKeptBytes = 64 * 1024;

} // namespace

void FrameDecoder::Feed(std::string_view aBytes)
{
  // Moves the remaining bytes to the front only here, so that a burst of small
  // frames costs one move.
  mBuffer.erase(0, mStart);
  mStart = 0;
  mBuffer.append(aBytes);
}

void FrameDecoder::ReleaseUnused()
{
  if (Buffered() == 0 && mBuffer.capacity() > kMaxKeptBytes) {
    std::string().swap(mBuffer);
    mStart = 0;
  }
}

Result<std::optional<std::string>> FrameDecoder::Next()
{
  if (Buffered() < 4) {
    return std::optional<std::string>();
  }
  size_t n = 0;
  for (size_t i = 0; i < 4; ++i) {
    n = n << 8 | static_cast<unsigned char>(mBuffer[mStart + i]);
  }
  if (n > kMaxPeerFrame) {
    return Error{ ResultCode::MessageTooLarge,
                  "frame of " + std::to_string(n) +
                    " bytes exceeds the size limit",
                  {} };
  }
  if (Buffered() < 4 + n) {
    return std::optional<std::string>();
  }
  auto out = mBuffer.substr(mStart + 4, n);
  mStart += 4 + n;
  return std::optional<std::string>(std::move(out));
}

} // namespace pollenway
