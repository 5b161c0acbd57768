#pragma once

namespace pollenway {

/// Prints the broken invariant and ends the process. Never returns.
[[noreturn]] void FailInvariant(const char* aCondition,
                                const char* aMessage,
                                const char* aFile,
                                int aLine);

} // namespace pollenway

/// Checks an invariant in every build. A broken one is an internal error: the
/// process ends rather than run a request twice or exceed a limit.
#define POLLENWAY_ASSERT(aCondition, aMessage)                                 \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      ::pollenway::FailInvariant(#aCondition, aMessage, __FILE__, __LINE__);   \
    }                                                                          \
  } while (false)
