#pragma once

#include "ExitCode.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace pollenway {

/// Output of a command, as table and as JSON, and its exit code.
struct CommandResult
{
  static CommandResult Failure(const Error& aError)
  {
    return Failure(aError, ExitOf(aError.mCode));
  }

  static CommandResult Failure(Error aError, ExitCode aExit)
  {
    CommandResult result;
    result.mExit = aExit;
    result.mErrors.push_back(std::move(aError));
    return result;
  }

  static CommandResult Usage(std::string aDetail)
  {
    return Failure(Error{ ResultCode::BadRequest, std::move(aDetail), {} },
                   ExitCode::Usage);
  }

  /// Adds a line to the table output.
  void Line(const std::string& aText) { mText += aText + "\n"; }

  bool IsOk() const { return mExit == ExitCode::Ok; }

  ExitCode mExit = ExitCode::Ok;
  /// JSON output, without the errors.
  nlohmann::json mDocument = nlohmann::json::object();
  /// Table output, without the errors.
  std::string mText;
  std::vector<Error> mErrors;
};

} // namespace pollenway
