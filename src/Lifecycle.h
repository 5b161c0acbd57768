#pragma once

#include <string_view>

namespace pollenway {

/// Declared state of a place or target.
enum class Lifecycle
{
  Live,
  Draining, ///< Receives no new work; work in flight finishes.
  Retired,  ///< Permanently out of service; the successor serves the callers.
};

/// Returns "live", "draining" or "retired".
std::string_view Name(Lifecycle aState);

} // namespace pollenway
