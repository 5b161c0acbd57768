#include "Logger.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace pollenway {

namespace {

std::string Quoted(const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \"=\n\r\t") == std::string::npos) {
    return aValue;
  }
  std::string out = "\"";
  for (char it : aValue) {
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += (it == '\n' || it == '\r') ? ' ' : it;
  }
  return out + '"';
}

log4cxx::LevelPtr LevelOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Trace:
      return log4cxx::Level::getTrace();
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      break;
  }
  return log4cxx::Level::getError();
}

log4cxx::LoggerPtr RootLogger()
{
  static log4cxx::LoggerPtr sLogger = log4cxx::Logger::getRootLogger();
  return sLogger;
}

} // namespace

LogField::LogField(std::string_view aKey, std::string_view aValue)
  : mKey(aKey)
  , mValue(aValue)
{
}

LogField::LogField(std::string_view aKey, const std::string& aValue)
  : mKey(aKey)
  , mValue(aValue)
{
}

LogField::LogField(std::string_view aKey, const char* aValue)
  : mKey(aKey)
  , mValue(aValue)
{
}

void InitLogging(LogLevel aLevel, const std::string& aProcessName)
{
  using namespace log4cxx;
  const std::string pattern =
    "time=%d{ISO8601} level=%p process=" + aProcessName + " %m%n";
  auto layout = std::make_shared<PatternLayout>(pattern);
  auto appender =
    std::make_shared<ConsoleAppender>(layout, ConsoleAppender::getSystemErr());
  helpers::Pool pool;
  appender->activateOptions(pool);
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  RootLogger()->setLevel(LevelOf(aLevel));
}

void InitLogging(const std::string& aLevel, const std::string& aProcessName)
{
  static constexpr std::pair<const char*, LogLevel> kLevels[] = {
    { "trace", LogLevel::Trace }, { "debug", LogLevel::Debug },
    { "info", LogLevel::Info },   { "warn", LogLevel::Warn },
    { "error", LogLevel::Error },
  };
  LogLevel level = LogLevel::Info;
  for (const auto& [name, value] : kLevels) {
    level = aLevel == name ? value : level;
  }
  InitLogging(level, aProcessName);
}

void Log(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  const auto level = LevelOf(aLevel);
  if (!RootLogger()->isEnabledFor(level)) {
    return;
  }
  std::string line = "event=" + std::string(aEvent);
  for (const auto& it : aFields) {
    line += ' ';
    line += it.mKey;
    line += '=';
    line += Quoted(it.mValue);
  }
  RootLogger()->forcedLog(level, line);
}

} // namespace pollenway
