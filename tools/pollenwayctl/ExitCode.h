#pragma once

#include "StoreWrite.h"

namespace pollenway {

/// Exit codes of pollenwayctl, listed in docs/operator/command.md.
enum class ExitCode
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  Invalid = 3,  ///< A file, name, value or state doesn't permit the command.
  Conflict = 4, ///< A concurrent change was made first; nothing was written.
  /// No answer, or a write whose outcome could not be determined by reading.
  StoreUnavailable = 5,
};

/// Returns the exit code of an error that is not from a write to the store.
constexpr ExitCode ExitOf(ResultCode aCode)
{
  const int number = int(aCode);
  if (aCode == ResultCode::StoreUnavailable) {
    return ExitCode::StoreUnavailable;
  }
  return number > 100 && number < 200 ? ExitCode::Invalid : ExitCode::Failed;
}

/// Returns the exit code of a write to the store.
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
