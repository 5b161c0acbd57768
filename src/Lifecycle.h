#pragma once

#include <string_view>

namespace pollenway {

/// Declared state of a place or target.
enum class Lifecycle
{
  Live,
  Draining, ///< Gets no new work; work in flight finishes.
  Retired,  ///< Gone. Callers are served by the successor.
};

/// "live", "draining" or "retired".
std::string_view Name(Lifecycle aState);

} // namespace pollenway
