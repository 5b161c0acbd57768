#pragma once

#include "Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

enum class WriteOutcome
{
  Done,
  Conflict, ///< The condition didn't hold; nothing changed.
  NotFound, ///< There is no object to delete.
  NotDone,  ///< Nothing was sent, or the store rejected the write as invalid.
  Unknown,  ///< The answer was lost: it may have taken effect, or still may.
};

/// "done", "conflict", "not-found", "not-done" or "unknown".
std::string_view Name(WriteOutcome aOutcome);

/// What became of one write to the store.
struct StoreWrite
{
  bool IsDone() const { return mOutcome == WriteOutcome::Done; }

  WriteOutcome mOutcome = WriteOutcome::NotDone;
  /// The object's new version if the write is done.
  uint64_t mVersion = 0;
  /// The reason if it isn't; `StoreUnavailable` if the store didn't answer.
  Error mError;
};

} // namespace pollenway
