#pragma once

#include "LogLevel.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pollenway {

/// A key=value pair of a log line.
struct LogField
{
  LogField(std::string_view aKey, std::string_view aValue);
  LogField(std::string_view aKey, const std::string& aValue);
  LogField(std::string_view aKey, const char* aValue);
  template<typename T>
  requires std::is_arithmetic_v<T> LogField(std::string_view aKey, T aValue)
    : mKey(aKey)
    , mValue(std::to_string(aValue))
  {
  }

  std::string_view mKey;
  std::string mValue;
};

/// Writes log lines to standard error through log4cxx.
void InitLogging(LogLevel aLevel, const std::string& aProcessName);

/// Writes log lines to standard error. `aLevel` is "trace", "debug", "info",
/// "warn" or "error"; any other value means "info".
void InitLogging(const std::string& aLevel, const std::string& aProcessName);

/// Writes log lines to standard output without blocking on its reader (see
/// `LogOutput`). `FlushLogs` must be called periodically.
void InitBoundedLogging(LogLevel aLevel, const std::string& aProcessName);
/// Writes the lines buffered after `InitBoundedLogging`; no effect without it.
void FlushLogs();

/// Writes one line of key=value pairs, the first of them "event". Values with
/// spaces or quotes are quoted.
void Log(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

} // namespace pollenway
