#include "Logger.h"
#include "StoreClient.h"
#include "pollenwayctl/FleetCommands.h"
#include "pollenwayctl/KeyCommands.h"
#include "pollenwayctl/ShiftCommands.h"

#include "JsonNames.h"
#include "JsonParse.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <chrono>
#include <iostream>
#include <optional>
#include <random>

DEFINE_string(platform, "127.0.0.1:8500", "object API, ADDRESS:PORT");
DEFINE_string(output, "table", "table or json");
DEFINE_uint32(timeout_ms, 2000, "timeout of each answer, in ms");
DEFINE_uint32(patience_ms,
              10000,
              "maximum time that a write to the store is retried while its "
              "outcome is unknown, in ms");
DEFINE_uint64(above, 0, "apply: use a generation above this number");
DEFINE_bool(prune,
            false,
            "apply, diff: remove keys that the file does not list, and shifts "
            "that it does not list and that have moved no callers");
DEFINE_bool(yes, false, "instance release: confirm the release");
DEFINE_bool(zone_is_terminated,
            false,
            "home move: the operator confirms that no instance of the zone is "
            "running");
DEFINE_string(successor, "", "retire place: the place that serves its callers");
DEFINE_string(service, "", "shift start: the service");
DEFINE_string(from, "", "shift start: the source region");
DEFINE_string(to, "", "shift start: the destination region");
DEFINE_double(step_cap,
              0.1,
              "shift start: maximum share of callers moved in one step");
DEFINE_double(rate_cap,
              -1,
              "shift start: maximum requests/s moved in total; required");
DEFINE_double(pace_s, 30, "shift start: minimum time between steps, in s");
DEFINE_double(final_share, 1, "shift start: share of callers moved at the end");
DEFINE_double(step, -1, "shift advance: share to move; default the step cap");
DEFINE_double(demand_rps,
              -1,
              "shift advance: requests/s of the service from the source; "
              "default the sum of all workspaces' rates");
DEFINE_string(id, "", "key issue: the key's id; default generated");
DEFINE_string(instances,
              "",
              "key withdraw: admin ports ADDRESS:PORT,...; default the members "
              "of the zone views");
DEFINE_uint32(admin_port, 7072, "admin port of members of the zone views");

namespace {

using namespace pollenway;

constexpr const char* kUsage =
  "the operators' command.\n"
  "  pollenwayctl [FLAGS] COMMAND\n"
  "Commands:\n"
  "  validate FILE...\n"
  "  diff FILE | apply FILE [--above GENERATION] [--prune]\n"
  "  drain|restore target|place NAME\n"
  "  retire place NAME --successor PLACE\n"
  "  shift start NAME --service S --from R --to R --rate_cap RPS\n"
  "        [--step_cap SHARE] [--pace_s S] [--final_share SHARE]\n"
  "  shift pause|resume|rollback|status NAME\n"
  "  shift advance NAME [--step SHARE] [--demand_rps RPS]\n"
  "  key issue WORKSPACE [--id ID]\n"
  "  key withdraw ID [--instances ADDRESS:PORT,...]\n"
  "  status\n"
  "  dump ADDRESS:PORT | explain ADDRESS:PORT REQUEST_ID\n"
  "  instance release NAME --yes\n"
  "  home move FROM_ZONE TO_ZONE [--zone_is_terminated]\n"
  "  zone remove ZONE\n"
  "Exit codes: 0 ok, 1 failed, 2 usage, 3 invalid input, 4 conflict,\n"
  "5 store unavailable; docs/operator/command.md has examples.";

std::optional<double> FlagValue(double aFlag)
{
  return aFlag < 0 ? std::nullopt : std::optional<double>(aFlag);
}

CommandOptions ReadOptions()
{
  CommandOptions options;
  options.mTimeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  options.mWriteRetryTimeout = std::chrono::milliseconds(FLAGS_patience_ms);
  options.mAboveGeneration = FLAGS_above;
  options.mPrune = FLAGS_prune;
  options.mYes = FLAGS_yes;
  options.mZoneIsTerminated = FLAGS_zone_is_terminated;
  options.mSuccessor = FLAGS_successor;
  options.mService = FLAGS_service;
  options.mFrom = FLAGS_from;
  options.mTo = FLAGS_to;
  options.mStepCap = FLAGS_step_cap;
  options.mRateCap = FlagValue(FLAGS_rate_cap);
  options.mPaceSeconds = FLAGS_pace_s;
  options.mFinalShare = FLAGS_final_share;
  options.mStep = FlagValue(FLAGS_step);
  options.mDemand = FlagValue(FLAGS_demand_rps);
  options.mId = FLAGS_id;
  options.mInstances = FLAGS_instances;
  options.mAdminPort = uint16_t(FLAGS_admin_port);
  return options;
}

int64_t NowUnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Clients and options that commands use besides their arguments.
struct Context
{
  StoreClient& mStore;
  AdminClient& mAdmin;
  CommandOptions mOptions;
};

using Handler = Awaitable<CommandResult> (*)(Context&, Arguments);

/// A command's words, the number of its arguments and its handler.
struct CommandRow
{
  const char* mFirst;
  /// Null if the first word is the whole command.
  const char* mSecond;
  size_t mArguments;
  Handler mRun;
};

const CommandRow kCommands[] = {
  { "diff",
    nullptr,
    1,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      ConfigurationStore store(aContext.mStore,
                               aContext.mOptions.mWriteRetryTimeout);
      auto result = co_await DiffFile(store, aContext.mOptions, aWords[0]);
      co_return result;
    } },
  { "apply",
    nullptr,
    1,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      ConfigurationStore store(aContext.mStore,
                               aContext.mOptions.mWriteRetryTimeout);
      auto result = co_await ApplyFile(store, aContext.mOptions, aWords[0]);
      co_return result;
    } },
  { "drain",
    nullptr,
    2,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      ConfigurationStore store(aContext.mStore,
                               aContext.mOptions.mWriteRetryTimeout);
      auto result = co_await SetState(store, Lifecycle::Draining, aWords);
      co_return result;
    } },
  { "restore",
    nullptr,
    2,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      ConfigurationStore store(aContext.mStore,
                               aContext.mOptions.mWriteRetryTimeout);
      auto result = co_await SetState(store, Lifecycle::Live, aWords);
      co_return result;
    } },
  { "retire",
    nullptr,
    2,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      ConfigurationStore store(aContext.mStore,
                               aContext.mOptions.mWriteRetryTimeout);
      auto result = co_await RetirePlace(store, aContext.mOptions, aWords);
      co_return result;
    } },
  { "shift",
    nullptr,
    2,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result = co_await RunShiftCommand(
        aContext.mStore, aContext.mOptions, aWords, NowUnixMs());
      co_return result;
    } },
  { "key",
    "issue",
    1,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result = co_await IssueKey(
        aContext.mStore, aContext.mOptions, aWords[0], GenerateKey());
      co_return result;
    } },
  { "key",
    "withdraw",
    1,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result = co_await WithdrawKey(
        aContext.mStore, aContext.mAdmin, aContext.mOptions, aWords[0]);
      co_return result;
    } },
  { "status",
    nullptr,
    0,
    [](Context& aContext, Arguments) -> Awaitable<CommandResult> {
      auto result = co_await ShowStatus(aContext.mStore, aContext.mOptions);
      co_return result;
    } },
  { "dump",
    nullptr,
    1,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result = co_await DumpInstance(aContext.mAdmin, aWords[0]);
      co_return result;
    } },
  { "explain",
    nullptr,
    2,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result =
        co_await ExplainRequest(aContext.mAdmin, aWords[0], aWords[1]);
      co_return result;
    } },
  { "instance",
    "release",
    1,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result =
        co_await ReleaseInstance(aContext.mStore, aContext.mOptions, aWords[0]);
      co_return result;
    } },
  { "home",
    "move",
    2,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result = co_await MoveHome(
        aContext.mStore, aContext.mOptions, aWords[0], aWords[1]);
      co_return result;
    } },
  { "zone",
    "remove",
    1,
    [](Context& aContext, Arguments aWords) -> Awaitable<CommandResult> {
      auto result = co_await DescribeZoneRemoval(
        aContext.mStore, aContext.mOptions, aWords[0]);
      co_return result;
    } },
};

const CommandRow* FindCommand(Arguments& aWords)
{
  for (const auto& it : kCommands) {
    const size_t words = it.mSecond ? 2 : 1;
    if (aWords.size() == words + it.mArguments && aWords[0] == it.mFirst &&
        (!it.mSecond || aWords[1] == it.mSecond)) {
      aWords.erase(aWords.begin(), aWords.begin() + std::ptrdiff_t(words));
      return &it;
    }
  }
  return nullptr;
}

/// Returns a failure if an argument that must be a name is not valid. Names
/// become parts of paths in the store and in admin requests.
std::optional<CommandResult> CheckNames(const CommandRow& aCommand,
                                        const Arguments& aWords)
{
  const std::string command = aCommand.mFirst;
  size_t first = 0;
  if (command == "diff" || command == "apply" || command == "dump") {
    return std::nullopt;
  }
  if (command == "explain") {
    first = 1;
  }
  for (size_t n = first; n < aWords.size(); ++n) {
    if (!IsValidName(aWords[n])) {
      return CommandResult::Failure(Error{
        ResultCode::OutOfRange, Quoted(aWords[n]) + " is not a name", {} });
    }
  }
  return std::nullopt;
}

Awaitable<void> RunInto(CommandResult& aResult,
                        Context& aContext,
                        const CommandRow& aCommand,
                        Arguments aWords)
{
  auto result = co_await aCommand.mRun(aContext, std::move(aWords));
  aResult = std::move(result);
}

CommandResult RunCommand(Arguments aWords)
{
  if (aWords.size() > 1 && aWords[0] == "validate") {
    aWords.erase(aWords.begin());
    return ValidateFiles(aWords);
  }
  const CommandRow* command = FindCommand(aWords);
  if (!command) {
    return CommandResult::Usage("unknown command or wrong number of "
                                "arguments; see --help");
  }
  if (auto invalid = CheckNames(*command, aWords)) {
    return *invalid;
  }
  auto platform = ParseEndpoint(FLAGS_platform);
  if (!platform) {
    return CommandResult::Usage("--platform: " + platform.error().mDetail);
  }
  if (FLAGS_admin_port == 0 || FLAGS_admin_port > 65535) {
    return CommandResult::Usage("--admin_port must be 1 to 65535");
  }
  asio::io_context io(1);
  StoreClient::Options options;
  options.mEndpoint = tcp::endpoint(
    asio::ip::make_address(platform.value().mAddress), platform.value().mPort);
  options.mRequestTimeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  options.mConnectTimeout = options.mRequestTimeout;
  options.mSeed = std::random_device()();
  StoreClient store(io.get_executor(), options);
  AdminClient admin(io.get_executor(), options.mRequestTimeout);
  Context context{ store, admin, ReadOptions() };
  CommandResult result;
  asio::co_spawn(io,
                 RunInto(result, context, *command, std::move(aWords)),
                 [&](std::exception_ptr aException) {
                   io.stop();
                   if (aException) {
                     std::rethrow_exception(aException);
                   }
                 });
  io.run();
  return result;
}

void Print(const CommandResult& aResult)
{
  if (FLAGS_output == "json") {
    nlohmann::json document = aResult.mDocument;
    if (!aResult.mErrors.empty()) {
      auto& errors = document["errors"];
      for (const auto& it : aResult.mErrors) {
        errors.push_back({ { "code", int(it.mCode) },
                           { "name", Name(it.mCode) },
                           { "path", it.mPath },
                           { "detail", it.mDetail } });
      }
    }
    std::cout << document.dump(
                   2, ' ', false, nlohmann::json::error_handler_t::replace)
              << "\n";
    return;
  }
  std::cout << aResult.mText;
  for (const auto& it : aResult.mErrors) {
    std::cerr << "pollenwayctl: " << it.mPath << (it.mPath.empty() ? "" : ": ")
              << it.mDetail << " (" << int(it.mCode) << " " << Name(it.mCode)
              << ")\n";
  }
}

} // namespace

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitLogging("warn", "pollenwayctl");
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    std::cerr << "pollenwayctl: --output must be table or json\n";
    return int(ExitCode::Usage);
  }
  const CommandResult result = RunCommand(Arguments(argv + 1, argv + argc));
  Print(result);
  return int(result.mExit);
}
