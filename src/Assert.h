#pragma once

namespace pollenway {

/// Prints the violated invariant to standard error and aborts the process.
[[noreturn]] void FailInvariant(const char* aCondition,
                                const char* aMessage,
                                const char* aFile,
                                int aLine);

} // namespace pollenway

/// Checks an invariant in every build type. A violation is an internal error;
/// the process aborts because continuing could execute a request twice or
/// exceed a limit.
#define POLLENWAY_ASSERT(aCondition, aMessage)                                 \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      ::pollenway::FailInvariant(#aCondition, aMessage, __FILE__, __LINE__);   \
    }                                                                          \
  } while (false)
