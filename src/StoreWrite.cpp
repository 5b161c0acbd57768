#include "StoreWrite.h"

namespace pollenway {

std::string_view Name(WriteOutcome aOutcome)
{
  switch (aOutcome) {
    case WriteOutcome::Done:
      return "done";
    case WriteOutcome::Conflict:
      return "conflict";
    case WriteOutcome::NotFound:
      return "not-found";
    case WriteOutcome::NotDone:
      return "not-done";
    case WriteOutcome::Unknown:
      break;
  }
  return "unknown";
}

} // namespace pollenway
