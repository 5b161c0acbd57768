#pragma once

#include "Assert.h"
#include "HttpTypes.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>

namespace pollenway {

/// Starts a detached coroutine. `aStart` is a callable without arguments or an
/// awaitable. An exception that leaves it is an internal error and ends the
/// process; otherwise, the coroutine would stop silently.
template<typename Executor, typename Start>
void Spawn(Executor&& aExecutor, Start&& aStart)
{
  asio::co_spawn(std::forward<Executor>(aExecutor),
                 std::forward<Start>(aStart),
                 [](std::exception_ptr aException) {
                   if (!aException) {
                     return;
                   }
                   try {
                     std::rethrow_exception(aException);
                   } catch (const std::exception& error) {
                     FailInvariant("no exception in a detached coroutine",
                                   error.what(),
                                   __FILE__,
                                   __LINE__);
                   }
                 });
}

} // namespace pollenway
