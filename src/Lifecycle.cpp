#include "Lifecycle.h"

namespace pollenway {

std::string_view Name(Lifecycle aState)
{
  switch (aState) {
    case Lifecycle::Live:
      return "live";
    case Lifecycle::Draining:
      return "draining";
    case Lifecycle::Retired:
      break;
  }
  return "retired";
}

} // namespace pollenway
