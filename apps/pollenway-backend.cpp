#include "Logger.h"
#include "RequestTarget.h"
#include "SettingsFile.h"
#include "pollenway-backend/BackendServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <sstream>

DEFINE_string(inventory, "", "inventory file with the targets to serve");
DEFINE_string(zone, "", "zone whose targets are served; empty: all zones");
DEFINE_string(admin_address, "127.0.0.1", "IP address of the admin port");
DEFINE_uint32(admin_port, 8600, "TCP port of the admin interface");
DEFINE_uint64(seed, 1, "seed for service times and injected faults");
DEFINE_double(service_ms, 5, "constant part of the service time, in ms");
DEFINE_double(service_extra_ms,
              5,
              "mean of the exponential part of the service time, in ms");
DEFINE_string(
  service_times,
  "",
  "service times that differ by service: SERVICE=BASE_MS+MEAN_EXTRA_MS,...");
DEFINE_uint32(cold_requests,
              0,
              "number of slower requests after a start or reset");
DEFINE_double(cold_factor, 4, "factor by which a cold target is slower");
DEFINE_uint32(restart_ms, 2000, "time from a crash to the restart, in ms");
DEFINE_uint32(health_lag_ms, 0, "maximum age of health reports, in ms");
DEFINE_bool(misleading_health,
            false,
            "the health endpoint always reports a live, idle target");
DEFINE_string(log_level, "info", "debug, info, warn or error");

using namespace pollenway;

namespace {

using ServiceTimes = std::map<std::string, ServiceTime>;

std::optional<ServiceTimes> ParseServiceTimes(const std::string& aText)
{
  ServiceTimes times;
  std::istringstream entries(aText);
  std::string entry;
  while (std::getline(entries, entry, ',')) {
    const size_t equals = entry.find('=');
    double base = 0;
    double extra = 0;
    if (equals == std::string::npos ||
        std::sscanf(entry.c_str() + equals + 1, "%lf+%lf", &base, &extra) < 1) {
      return std::nullopt;
    }
    ServiceTime& time = times[entry.substr(0, equals)];
    time.mBase = FromSeconds(base / 1e3);
    time.mMeanExtra = FromSeconds(extra / 1e3);
  }
  return times;
}

int Fail(const std::string& aMessage)
{
  std::fprintf(stderr, "pollenway-backend: %s\n", aMessage.c_str());
  return 1;
}

/// Starts the targets of the inventory that are in the zone of --zone.
Result<void> AddTargets(const nlohmann::json& aInventory,
                        const ServiceTimes& aTimes,
                        BackendServer& aServer)
{
  std::map<std::string, std::string> zones;
  for (const auto& it : aInventory.at("places")) {
    zones[it.at("name")] = it.at("zone");
  }
  uint64_t n = 0;
  for (const auto& it : aInventory.at("targets")) {
    ++n;
    if (!FLAGS_zone.empty() && zones[it.at("place")] != FLAGS_zone) {
      continue;
    }
    BackendTarget::Options options;
    options.mName = it.at("name");
    options.mService = it.at("service");
    options.mAddress = it.at("address");
    options.mPort = it.at("port");
    options.mSlots = it.value("slots", 1u);
    options.mConnections = it.value("connections", 650u);
    options.mServiceTime.mBase = FromSeconds(FLAGS_service_ms / 1e3);
    options.mServiceTime.mMeanExtra = FromSeconds(FLAGS_service_extra_ms / 1e3);
    const auto time = aTimes.find(options.mService);
    if (time != aTimes.end()) {
      options.mServiceTime = time->second;
    }
    options.mColdRequests = FLAGS_cold_requests;
    options.mColdFactor = FLAGS_cold_factor;
    options.mRestartDelay = std::chrono::milliseconds(FLAGS_restart_ms);
    options.mHealthLag = std::chrono::milliseconds(FLAGS_health_lag_ms);
    options.mSeed = FLAGS_seed * 1000 + n;
    auto added = aServer.Add(std::move(options));
    if (!added) {
      return added;
    }
    if (FLAGS_misleading_health) {
      TargetFaults faults;
      faults.mMisleadingHealth = true;
      aServer.Targets().back()->SetFaults(faults);
    }
  }
  return outcome::success();
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "stand-in for backend servers: serves the targets of an inventory; GET "
    "/admin/executions and /admin/targets return reports, POST "
    "/admin/targets/NAME injects faults");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitLogging(FLAGS_log_level, "pollenway-backend");
  const auto times = ParseServiceTimes(FLAGS_service_times);
  if (!times) {
    return Fail("--service_times: expected SERVICE=BASE_MS+MEAN_EXTRA_MS");
  }
  auto text = ReadSettingsFile(FLAGS_inventory);
  if (!text) {
    return Fail("--inventory " + FLAGS_inventory + ": " + text.error().mDetail);
  }
  asio::io_context io(1);
  BackendServer server(io.get_executor());
  try {
    auto added =
      AddTargets(nlohmann::json::parse(text.value()), *times, server);
    if (!added) {
      return Fail(added.error().mDetail);
    }
  } catch (const nlohmann::json::exception& e) {
    return Fail("--inventory " + FLAGS_inventory + ": " + e.what());
  }
  if (server.Targets().empty()) {
    return Fail("no target in zone " + FLAGS_zone);
  }
  auto listening =
    server.ListenAdmin(FLAGS_admin_address, uint16_t(FLAGS_admin_port));
  if (!listening) {
    return Fail(listening.error().mDetail);
  }
  Log(LogLevel::Info,
      "listening",
      { { "zone", FLAGS_zone },
        { "targets", server.Targets().size() },
        { "admin_address", FLAGS_admin_address },
        { "admin_port", server.AdminPort() } });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const ErrorCode&, int) {
    server.Stop();
    io.stop();
  });
  io.run();
  Log(LogLevel::Info, "stopped");
  return 0;
}
