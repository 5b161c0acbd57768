#pragma once

#include <cstdint>
#include <string_view>

namespace pollenway {

/// Why a request was sent to its target.
enum class SelectionReason : uint8_t
{
  /// The target is the object's home by the placement plan.
  Planned,
  /// Another target is expected to answer sooner than the home.
  Queue,
  /// Another target is expected to answer sooner only because the home has
  /// rejected requests lately.
  Rejections,
  /// The home is paused after failures or closed by its announcement.
  Unavailable,
  /// The home is cold and may receive no request now.
  ColdLimit,
  /// An earlier attempt of the request was rejected or failed.
  Retry,
};

constexpr SelectionReason kSelectionReasons[] = {
  SelectionReason::Planned,    SelectionReason::Queue,
  SelectionReason::Rejections, SelectionReason::Unavailable,
  SelectionReason::ColdLimit,  SelectionReason::Retry,
};

/// Returns the name for logs and metrics.
constexpr std::string_view Name(SelectionReason aReason)
{
  switch (aReason) {
    case SelectionReason::Planned:
      return "planned";
    case SelectionReason::Queue:
      return "queue";
    case SelectionReason::Rejections:
      return "rejections";
    case SelectionReason::Unavailable:
      return "unavailable";
    case SelectionReason::ColdLimit:
      return "cold_limit";
    case SelectionReason::Retry:
      break;
  }
  return "retry";
}

} // namespace pollenway
