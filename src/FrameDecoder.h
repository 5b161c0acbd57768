#pragma once

#include "Result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Splits a byte stream into frames: a 4-byte big-endian length, then that many
/// bytes. Memory use grows with the bytes received, never with a claimed length
/// alone.
class FrameDecoder
{
public:
  /// Appends received bytes.
  void Feed(std::string_view aBytes);

  /// Returns the next complete frame without its length field, or none if more
  /// bytes are needed. After the error MessageTooLarge (a length above
  /// `kMaxPeerFrame`) the next frame boundary is unknown: each later call fails
  /// too, and the connection must be closed.
  Result<std::optional<std::string>> Next();

  /// Frees a large buffer that has become empty.
  void ReleaseUnused();
  /// Returns the memory that the buffer takes.
  size_t Capacity() const { return mBuffer.capacity(); }
  /// Returns the number of buffered bytes that belong to no frame returned yet.
  size_t Buffered() const { return mBuffer.size() - mStart; }

private:
  std::string mBuffer;
  size_t mStart = 0;
};

} // namespace pollenway
