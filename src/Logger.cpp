#include "Logger.h"

#include "LogOutput.h"
#include "LogValue.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace pollenway {

namespace {

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

/// Appender that writes formatted lines to a `LogOutput`.
class BoundedAppender : public log4cxx::AppenderSkeleton
{
public:
  explicit BoundedAppender(const log4cxx::LayoutPtr& aLayout)
    : mLayout(aLayout)
    , mOutput({})
  {
  }

  void close() override { mOutput.Flush(); }
  bool requiresLayout() const override { return false; }
  void Flush() { mOutput.Flush(); }

protected:
  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override
  {
    log4cxx::LogString line;
    mLayout->format(line, aEvent, aPool);
    mOutput.Add(line);
  }

private:
  // The base class of log4cxx 1.0 does not expose its layout to subclasses.
  log4cxx::LayoutPtr mLayout;
  LogOutput mOutput;
};

std::shared_ptr<BoundedAppender>& BoundedOutput()
{
  static std::shared_ptr<BoundedAppender> sAppender;
  return sAppender;
}

log4cxx::LayoutPtr MakeLayout(const std::string& aProcessName)
{
  return std::make_shared<log4cxx::PatternLayout>(
    "time=%d{ISO8601} level=%p process=" + aProcessName + " %m%n");
}

void UseAppender(const log4cxx::AppenderPtr& aAppender, LogLevel aLevel)
{
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(aAppender);
  RootLogger()->setLevel(LevelOf(aLevel));
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
  auto appender = std::make_shared<ConsoleAppender>(
    MakeLayout(aProcessName), ConsoleAppender::getSystemErr());
  helpers::Pool pool;
  appender->activateOptions(pool);
  UseAppender(appender, aLevel);
}

void InitBoundedLogging(LogLevel aLevel, const std::string& aProcessName)
{
  BoundedOutput() = std::make_shared<BoundedAppender>(MakeLayout(aProcessName));
  UseAppender(BoundedOutput(), aLevel);
}

void FlushLogs()
{
  if (BoundedOutput()) {
    BoundedOutput()->Flush();
  }
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
    line += FormatLogValue(it.mValue);
  }
  RootLogger()->forcedLog(level, line);
}

} // namespace pollenway
