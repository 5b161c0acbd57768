#pragma once

#include <string>
#include <vector>

namespace pollenway {

/// Who may use a route.
enum class RouteAccess
{
  Keyed, ///< A tenant key is needed; the request runs for its workspace.
  Open,  ///< Open to all.
};

/// How repeated execution is prevented on a route.
enum class RouteExecution
{
  Idempotent,  ///< May be retried.
  AtMostOnce,  ///< Needs an idempotency key; runs at most once.
  Unprotected, ///< Never retried, but the caller's own repeats may run again.
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
