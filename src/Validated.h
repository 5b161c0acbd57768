#pragma once

#include "Result.h"

#include <vector>

namespace pollenway {

/// A value or every error that was found while reading it (at least one).
/// Taking the value of a failed result terminates.
template<typename T>
using Validated =
  outcome::basic_result<T, std::vector<Error>, outcome::policy::terminate>;

} // namespace pollenway
