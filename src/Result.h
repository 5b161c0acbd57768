#pragma once

#include "Error.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace pollenway {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an `Error`. Accessing the value of a failed result terminates the
/// process.
template<typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace pollenway
