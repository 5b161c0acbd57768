#pragma once

namespace pollenway {

/// Severity of a log line, in increasing order.
enum class LogLevel
{
  Trace,
  Debug,
  Info,
  Warn,
  Error,
};

} // namespace pollenway
