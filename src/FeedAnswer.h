#pragma once

#include <cstdint>

namespace pollenway {

/// How an instance answers a request for the store's objects. Numbers of the
/// protocol: never reuse one.
enum class FeedAnswer : uint8_t
{
  /// It does not read the store itself now, or the store does not answer it.
  NotReading = 0,
  Objects = 1,
  /// The changes asked for are no longer known; a listing is needed.
  HistoryGone = 2,
};

} // namespace pollenway
