#pragma once

#include <cstdint>

namespace pollenway {

/// Result of a request to an instance for the store's objects. The values are
/// part of the protocol: never reuse one.
enum class FeedAnswer : uint8_t
{
  /// The instance does not read the store itself at present, or the store does
  /// not answer it.
  NotReading = 0,
  Objects = 1,
  /// The requested changes are no longer available; a listing is needed.
  HistoryGone = 2,
};

} // namespace pollenway
