#pragma once

namespace pollenway {

/// The lowest importance of events that are logged.
enum class LogLevel
{
  Trace,
  Debug,
  Info,
  Warn,
  Error,
};

} // namespace pollenway
