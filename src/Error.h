#pragma once

#include "ResultCode.h"

#include <string>

namespace pollenway {

/// A failure that the party that caused it (operator, caller or peer) can act
/// on. Broken invariants are asserted instead (Assert.h).
struct Error
{
  ResultCode mCode = ResultCode::InternalError;
  /// What failed and why, in one sentence without a line break.
  std::string mDetail;
  /// Location of the failure: a field path such as "/targets/3/slots", or
  /// empty.
  std::string mPath;
};

} // namespace pollenway
