#pragma once

#include "LogLevel.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace pollenway {

/// One key and value of a log line.
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

/// Sends log lines to the standard error stream through log4cxx.
void InitLogging(LogLevel aLevel, const std::string& aProcessName);

/// As above; `aLevel` is "trace", "debug", "info", "warn" or "error", and
/// anything else counts as "info".
void InitLogging(const std::string& aLevel, const std::string& aProcessName);

/// Sends log lines to the standard output without waiting for its reader (see
/// `LogOutput`). `FlushLogs` must be called regularly.
void InitBoundedLogging(LogLevel aLevel, const std::string& aProcessName);
/// Writes buffered lines. Does nothing after `InitLogging`.
void FlushLogs();

/// Writes one line of key=value pairs. Values with spaces or quotes are quoted.
void Log(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

} // namespace pollenway
