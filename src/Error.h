#pragma once

#include "ResultCode.h"

#include <string>

namespace pollenway {

/// A failure that its cause's owner (operator, caller, peer) can act on.
/// Internal errors, that is broken invariants, are asserted instead (Assert.h).
struct Error
{
  ResultCode mCode = ResultCode::InternalError;
  /// What failed and why, in one sentence without a line break.
  std::string mDetail;
  /// Where: a field path such as "/targets/3/slots", or empty.
  std::string mPath;
};

} // namespace pollenway
