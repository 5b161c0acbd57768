#pragma once

#include "Result.h"

#include <vector>

namespace pollenway {

/// A value, or all errors found while reading it (at least one). Accessing the
/// value of a failed result terminates the process.
template<typename T>
using Validated =
  outcome::basic_result<T, std::vector<Error>, outcome::policy::terminate>;

} // namespace pollenway
