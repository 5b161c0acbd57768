#pragma once

#include <string>
#include <vector>

namespace pollenway {

/// Access control of a route.
enum class RouteAccess
{
  Keyed, ///< Requires a tenant key; the request runs for the key's workspace.
  Open,  ///< Requires no key.
};

/// How repeated execution is prevented on a route.
enum class RouteExecution
{
  Idempotent,  ///< May be retried.
  AtMostOnce,  ///< Requires an idempotency key; runs at most once.
  Unprotected, ///< Never retried, but the caller's own retries may run again.
};

/// A set of requests of a service, by path prefix and method.
struct Route
{
  std::string mPathPrefix;
  /// Empty: all methods.
  std::vector<std::string> mMethods;
  RouteAccess mAccess = RouteAccess::Keyed;
  RouteExecution mExecution = RouteExecution::AtMostOnce;

  bool operator==(const Route&) const = default;
};

} // namespace pollenway
