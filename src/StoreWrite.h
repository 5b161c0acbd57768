#pragma once

#include "Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

enum class WriteOutcome
{
  Done,
  Conflict, ///< The condition did not hold; nothing changed.
  NotFound, ///< There is no object to delete.
  NotDone,  ///< Nothing was sent, or the store rejected an invalid write.
  Unknown,  ///< The answer was lost; the write may be done or still be pending.
};

/// Returns "done", "conflict", "not-found", "not-done" or "unknown".
std::string_view Name(WriteOutcome aOutcome);

/// Result of one write to the store.
struct StoreWrite
{
  bool IsDone() const { return mOutcome == WriteOutcome::Done; }

  WriteOutcome mOutcome = WriteOutcome::NotDone;
  /// The object's new version if the write was done.
  uint64_t mVersion = 0;
  /// The reason if the write was not done; `StoreUnavailable` if the store did
  /// not answer.
  Error mError;
};

} // namespace pollenway
