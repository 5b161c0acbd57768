#include "FrameDecoder.h"

#include "PeerMessage.h"

namespace pollenway {

void FrameDecoder::Feed(std::string_view aBytes)
{
  // Moves the remaining bytes to the front only here, so that a burst of small
  // frames costs one move.
  mBuffer.erase(0, mStart);
  mStart = 0;
  mBuffer.append(aBytes);
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
                  "the frame exceeds the limit: " + std::to_string(n) +
                    " bytes",
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
