#include "EntryServer.h"
#include "EntrySettingsReader.h"
#include "Logger.h"
#include "SettingsFile.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "JSON file with this instance's settings");
DEFINE_bool(check, false, "check the settings and exit");
DEFINE_string(log_level, "", "overrides log_level of the settings");
DEFINE_string(address, "", "overrides address of the settings");
DEFINE_int32(caller_port, 0, "overrides caller_port of the settings");

namespace {

using namespace pollenway;

constexpr int kExitUsage = 2;

int PrintErrors(const std::vector<Error>& aErrors)
{
  for (const auto& it : aErrors) {
    std::cerr << FLAGS_settings << ": " << it.mPath << ": " << it.mDetail
              << " (" << int(it.mCode) << " " << Name(it.mCode) << ")\n";
  }
  return kExitUsage;
}

bool ApplyFlags(EntrySettings& aSettings)
{
  if (!FLAGS_address.empty()) {
    aSettings.mAddress = FLAGS_address;
  }
  if (FLAGS_caller_port != 0) {
    aSettings.mCallerPort = uint16_t(FLAGS_caller_port);
  }
  if (FLAGS_log_level == "debug") {
    aSettings.mLogLevel = LogLevel::Debug;
  } else if (FLAGS_log_level == "info") {
    aSettings.mLogLevel = LogLevel::Info;
  } else if (FLAGS_log_level == "warn") {
    aSettings.mLogLevel = LogLevel::Warn;
  } else if (!FLAGS_log_level.empty()) {
    return false;
  }
  return true;
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "runs an entry instance, which serves callers of one availability zone.\n"
    "  pollenway-entry --settings FILE [--check]\n"
    "SIGTERM starts a graceful shutdown.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    std::cerr << "pollenway-entry: --settings is required; see --help\n";
    return kExitUsage;
  }
  auto text = ReadSettingsFile(FLAGS_settings);
  if (!text) {
    return PrintErrors({ text.error() });
  }
  auto settings = EntrySettingsReader::Read(text.value());
  if (!settings) {
    return PrintErrors(settings.error());
  }
  if (!ApplyFlags(settings.value())) {
    std::cerr << "pollenway-entry: --log_level must be debug, info or warn\n";
    return kExitUsage;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  InitLogging(settings.value().mLogLevel, settings.value().mName.Text());
  asio::io_context io(1);
  EntryServer server(io, std::move(settings.value()));
  auto started = server.Start();
  if (!started) {
    return PrintErrors({ started.error() });
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const ErrorCode& aError, int) {
    if (!aError) {
      server.Stop();
    }
  });
  io.run();
  return 0;
}
