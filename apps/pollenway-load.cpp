#include "Logger.h"
#include "SettingsFile.h"
#include "pollenway-load/ExecutionCheck.h"
#include "pollenway-load/LoadPlan.h"
#include "pollenway-load/LoadRun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>

DEFINE_string(bootstrap,
              "",
              "entry instances to send look-ups to: ADDRESS:PORT,...");
DEFINE_string(direct,
              "",
              "targets to send to without look-ups: ADDRESS:PORT,...");
DEFINE_bool(direct_with_key,
            false,
            "the --direct addresses are entry instances; send tenant keys");
DEFINE_string(backend_admin,
              "",
              "admin ports of the backend stand-ins, whose execution reports "
              "are fetched at the end: ADDRESS:PORT,...");
DEFINE_string(plan, "", "JSON file with workspaces and operations");
DEFINE_string(inventory,
              "",
              "inventory file from which workspaces, operations and source "
              "addresses are derived, if there is no plan");
DEFINE_double(load_factor, 0.9, "load as a fraction of each workspace's rate");
DEFINE_uint32(callers_per_block,
              2,
              "number of source addresses for each /24 client block");
DEFINE_uint64(upload_bytes, 200000, "length of uploads, in bytes");
DEFINE_double(rate,
              0,
              "requests/s of all workspaces together, to which the plan is "
              "scaled; 0: not scaled");
DEFINE_string(service,
              "lookup",
              "service of the single operation without plan and inventory");
DEFINE_string(method, "GET", "method of the single operation");
DEFINE_string(path, "/stock", "path of the single operation");
DEFINE_uint64(body_bytes, 0, "body length of the single operation, in bytes");
DEFINE_string(key, "", "tenant key of the single operation");
DEFINE_string(workspace, "direct", "workspace of the single operation");
DEFINE_double(seconds, 10, "time in which requests arrive");
DEFINE_uint64(max_requests, 1000000, "maximum number of requests");
DEFINE_uint32(max_in_flight, 5000, "maximum number of requests in flight");
DEFINE_uint32(callers, 6, "minimum number of callers for each workspace");
DEFINE_uint32(timeout_ms, 15000, "timeout of each read and write, in ms");
DEFINE_uint32(deadline_ms, 0, "Pollenway-Deadline-Ms to send; 0 sends none");
DEFINE_uint32(retries,
              3,
              "maximum retries after connection errors and refusals");
DEFINE_bool(retry_rate_exceeded,
            false,
            "also retry requests refused with RateExceeded");
DEFINE_uint64(seed, 1, "seed for arrivals, choices and retry delays");
DEFINE_string(run_id,
              "",
              "prefix of all Idempotency-Keys; empty: derived from the time");
DEFINE_string(result, "", "file to write the JSON result to");
DEFINE_string(log_level, "info", "debug, info, warn or error");

using namespace pollenway;

namespace {

int Fail(const std::string& aMessage)
{
  std::fprintf(stderr, "pollenway-load: %s\n", aMessage.c_str());
  return 2;
}

Result<void> ReadSource(LoadPlan& aPlan)
{
  if (!FLAGS_plan.empty()) {
    auto text = ReadSettingsFile(FLAGS_plan);
    return text ? aPlan.ReadPlan(text.value()) : Result<void>(text.error());
  }
  if (!FLAGS_inventory.empty()) {
    auto text = ReadSettingsFile(FLAGS_inventory);
    return text ? aPlan.ReadInventory(text.value(),
                                      FLAGS_load_factor,
                                      FLAGS_callers_per_block,
                                      FLAGS_upload_bytes)
                : Result<void>(text.error());
  }
  Operation operation;
  operation.mName = FLAGS_service;
  operation.mService = FLAGS_service;
  operation.mMethod = FLAGS_method;
  operation.mPath = FLAGS_path;
  operation.mBodyBytes = FLAGS_body_bytes;
  operation.mHasKey = FLAGS_method != "GET" && FLAGS_method != "HEAD";
  aPlan.mOperations.push_back(std::move(operation));
  WorkspacePlan workspace;
  workspace.mName = FLAGS_workspace;
  workspace.mKey = FLAGS_key;
  aPlan.mWorkspaces.push_back(std::move(workspace));
  return outcome::success();
}

Result<LoadPlan> MakePlan()
{
  LoadPlan plan;
  auto read = ReadSource(plan);
  if (!read) {
    return read.error();
  }
  auto bootstrap = ParseEndpoints(FLAGS_bootstrap);
  auto direct = ParseEndpoints(FLAGS_direct);
  if (!bootstrap || !direct) {
    return bootstrap ? direct.error() : bootstrap.error();
  }
  plan.mBootstrap = std::move(bootstrap.value());
  plan.mDirect = std::move(direct.value());
  plan.mDirectWithKey = FLAGS_direct_with_key;
  if (plan.mBootstrap.empty() == plan.mDirect.empty()) {
    return Error{ ResultCode::MissingField,
                  "set exactly one of --bootstrap and --direct",
                  {} };
  }
  if (plan.mOperations.empty() || plan.mWorkspaces.empty()) {
    return Error{ ResultCode::MissingField,
                  "the plan has no workspaces or no operations",
                  {} };
  }
  double sum = 0;
  for (const auto& it : plan.mWorkspaces) {
    sum += it.mLoad;
  }
  for (auto& it : plan.mWorkspaces) {
    it.mLoad *= FLAGS_rate > 0 && sum > 0 ? FLAGS_rate / sum : 1;
  }
  plan.mArrivalTime = FromSeconds(FLAGS_seconds);
  plan.mTimeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  plan.mDeadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  plan.mRetries = std::min(FLAGS_retries, 10u);
  plan.mRetryRateExceeded = FLAGS_retry_rate_exceeded;
  plan.mCallersPerWorkspace = FLAGS_callers;
  plan.mMaxRequests = FLAGS_max_requests;
  plan.mMaxInFlight = FLAGS_max_in_flight;
  plan.mSeed = FLAGS_seed;
  // Backend servers count executions by key, so runs must not share keys.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  plan.mRunId =
    !FLAGS_run_id.empty()
      ? FLAGS_run_id
      : "run" +
          std::to_string(
            std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  return plan;
}

void PrintLatency(const std::string& aName, const nlohmann::json& aEntry)
{
  std::printf("  %-22s n=%-8llu p50=%.3f p99=%.3f max=%.3f ms\n",
              aName.c_str(),
              static_cast<unsigned long long>(aEntry["count"]),
              aEntry["p50_ms"].get<double>(),
              aEntry["p99_ms"].get<double>(),
              aEntry["max_ms"].get<double>());
}

void PrintSummary(const nlohmann::json& aResult)
{
  for (const char* name : { "requests",
                            "answered",
                            "refused",
                            "outcome_unknown",
                            "already_ran",
                            "lost",
                            "lost_unreachable",
                            "mismatched",
                            "not_sent",
                            "attempts",
                            "wrongful_refusals",
                            "refusals_by_code",
                            "other_status",
                            "connection_errors",
                            "worst_workspace_by_answered",
                            "worst_workspace_by_p99",
                            "executions" }) {
    if (aResult.contains(name)) {
      std::printf("%-28s %s\n", name, aResult[name].dump().c_str());
    }
  }
  std::printf("latency\n");
  PrintLatency("all", aResult["latency"]);
  for (const auto& [name, entry] : aResult["services"].items()) {
    PrintLatency("service " + name, entry);
  }
  for (const auto& [name, entry] : aResult["workspaces"].items()) {
    PrintLatency(name, entry);
    std::printf("  %-22s answered/entitled=%.4f wrongful=%s of %s attempts\n",
                "",
                entry["answered_share_of_entitled"].get<double>(),
                entry["wrongful_refusals"].dump().c_str(),
                entry["attempts"].dump().c_str());
  }
  PrintLatency("look-ups", aResult["lookups"]);
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "sends requests of several workspaces and checks the answers; exit code 1 "
    "if a request was lost, mismatched or executed twice");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitLogging(FLAGS_log_level, "pollenway-load");
  auto planResult = MakePlan();
  if (!planResult) {
    return Fail(planResult.error().mPath + " " + planResult.error().mDetail);
  }
  const LoadPlan plan = std::move(planResult.value());
  auto admins = ParseEndpoints(FLAGS_backend_admin);
  if (!admins) {
    return Fail("--backend_admin: " + admins.error().mDetail);
  }
  asio::io_context io(1);
  LoadRun run(io.get_executor(), plan);
  ExecutionCheck check(admins.value(), plan.mRunId);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const ErrorCode& aError, int) {
    if (!aError) {
      run.Stop();
    }
  });
  asio::co_spawn(
    io,
    [&]() -> Awaitable<void> {
      co_await run.Run();
      co_await check.Run(io.get_executor(), run.Statistics());
      io.stop();
    },
    asio::detached);
  io.run();

  const auto& statistics = run.Statistics();
  nlohmann::json result = statistics.ToJson();
  result["seed"] = plan.mSeed;
  result["run_id"] = plan.mRunId;
  result["seconds"] = ToSeconds(run.Elapsed());
  if (!admins.value().empty()) {
    result["executions"] = check.ToJson();
  }
  const bool passed = statistics.Lost() == 0 && statistics.Mismatched() == 0 &&
                      (admins.value().empty() || check.IsClean());
  result["passed"] = passed;
  PrintSummary(result);
  if (!FLAGS_result.empty()) {
    std::ofstream file(FLAGS_result);
    file << result.dump(2) << '\n';
    if (!file) {
      return Fail("can't write " + FLAGS_result);
    }
  }
  return passed ? 0 : 1;
}
