#pragma once

#include "Result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Splits a stream of bytes into frames: 4-byte big-endian length, then as
/// many bytes. Memory grows with the bytes received, never with a claimed
/// length alone.
class FrameDecoder
{
public:
  /// Adds received bytes.
  void Feed(std::string_view aBytes);

  /// The next whole frame without its length field, or none yet. After the
  /// error MessageTooLarge (a length above `kMaxPeerFrame`) the stream has no
  /// known frame boundary: each later call fails too, and the connection must
  /// be closed.
  Result<std::optional<std::string>> Next();

  /// Bytes held that belong to no frame returned yet.
  size_t Buffered() const { return mBuffer.size() - mStart; }

private:
  std::string mBuffer;
  size_t mStart = 0;
};

} // namespace pollenway
