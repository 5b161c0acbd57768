#pragma once

#include "StoreWrite.h"

namespace pollenway {

/// Exit codes of pollenwayctl; docs/operator/command.md has the table.
enum class ExitCode
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  Invalid = 3,  ///< A file, name, value or state doesn't permit the command.
  Conflict = 4, ///< Another operator's change came first; nothing changed.
  /// No answer, or a write's outcome could not be read back.
  StoreUnavailable = 5,
};

/// The exit code of an error that didn't come from a write to the store.
constexpr ExitCode ExitOf(ResultCode aCode)
{
  const int number = int(aCode);
  if (aCode == ResultCode::StoreUnavailable) {
    return ExitCode::StoreUnavailable;
  }
  return number > 100 && number < 200 ? ExitCode::Invalid : ExitCode::Failed;
}

/// The exit code of a write to the store.
constexpr ExitCode ExitOf(const StoreWrite& aWrite)
{
  switch (aWrite.mOutcome) {
    case WriteOutcome::Done:
      return ExitCode::Ok;
    case WriteOutcome::Conflict:
      return ExitCode::Conflict;
    case WriteOutcome::Unknown:
      return ExitCode::StoreUnavailable;
    case WriteOutcome::NotDone:
    case WriteOutcome::NotFound:
      break;
  }
  return aWrite.mError.mCode == ResultCode::TooLarge
           ? ExitCode::Invalid
           : ExitOf(aWrite.mError.mCode);
}

} // namespace pollenway
