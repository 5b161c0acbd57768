#include "Logger.h"
#include "SettingsFile.h"
#include "pollenway-platform/PlatformServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 8500, "TCP port to listen on");
DEFINE_uint64(seed, 1, "seed of the injected faults");
DEFINE_uint32(instance_list_lag_ms,
              2000,
              "age of the instance list that readers get, in ms");
DEFINE_uint32(history, 20000, "number of changes kept for watches");
DEFINE_string(load,
              "",
              "JSON file with initial objects: [{\"kind\", \"name\", "
              "\"value\"}], a value that isn't a string is stored as JSON");
DEFINE_string(log_level, "info", "debug, info, warn or error");

using namespace pollenway;

namespace {

Result<void> LoadObjects(const std::string& aPath, ObjectTable& aTable)
{
  auto text = ReadSettingsFile(aPath);
  if (!text) {
    return text.error();
  }
  const auto document = nlohmann::json::parse(text.value(), nullptr, false);
  if (!document.is_array()) {
    return Error{ ResultCode::SyntaxError, "not a JSON array", aPath };
  }
  for (const auto& it : document) {
    if (!it.is_object() || !it.contains("kind") || !it.contains("name") ||
        !it.contains("value") || !it["kind"].is_string() ||
        !it["name"].is_string()) {
      return Error{ ResultCode::MissingField,
                    "an object needs kind, name and value",
                    aPath };
    }
    const auto& value = it["value"];
    auto put =
      aTable.Put(it["kind"],
                 it["name"],
                 value.is_string() ? value.get<std::string>() : value.dump(),
                 {});
    if (!put) {
      return put.error();
    }
  }
  return outcome::success();
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "stand-in for the platform's object API and instance list; POST "
    "/admin/faults injects faults");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitLogging(FLAGS_log_level, "pollenway-platform");
  asio::io_context io(1);
  PlatformServer::Options options;
  options.mSeed = FLAGS_seed;
  options.mInstanceListLag =
    std::chrono::milliseconds(FLAGS_instance_list_lag_ms);
  options.mHistory = FLAGS_history;
  PlatformServer server(io.get_executor(), options);
  if (!FLAGS_load.empty()) {
    auto loaded = LoadObjects(FLAGS_load, server.Table());
    if (!loaded) {
      std::fprintf(stderr,
                   "%s: %s\n",
                   loaded.error().mPath.c_str(),
                   loaded.error().mDetail.c_str());
      return 1;
    }
  }
  auto listening = server.Listen(FLAGS_address, uint16_t(FLAGS_port));
  if (!listening) {
    std::fprintf(stderr, "%s\n", listening.error().mDetail.c_str());
    return 1;
  }
  Log(LogLevel::Info,
      "listening",
      { { "address", FLAGS_address }, { "port", server.Port() } });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const ErrorCode&, int) {
    server.Stop();
    io.stop();
  });
  io.run();
  Log(LogLevel::Info, "stopped");
  return 0;
}
