#include "../../apps/pollenway-load/LoadRun.h"

#include "../../apps/pollenway-backend/BackendServer.h"
#include "../../apps/pollenway-load/ExecutionCheck.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace pollenway;

namespace {

constexpr unsigned kRequests = 40;

BackendTarget::Options TargetOptions(unsigned aSlots)
{
  BackendTarget::Options options;
  options.mName = "target";
  options.mAddress = "127.0.0.1";
  options.mSlots = aSlots;
  options.mServiceTime.mBase = Duration::zero();
  options.mServiceTime.mMeanExtra = Duration::zero();
  return options;
}

LoadPlan MakePlan()
{
  LoadPlan plan;
  Operation operation;
  operation.mName = "posting";
  operation.mService = "ledger";
  operation.mMethod = "POST";
  operation.mPath = "/levies";
  operation.mBodyBytes = 100'000;
  operation.mHasKey = true;
  plan.mOperations.push_back(std::move(operation));
  WorkspacePlan workspace;
  workspace.mName = "workspace";
  workspace.mLoad = 2000;
  plan.mWorkspaces.push_back(std::move(workspace));
  plan.mMaxRequests = kRequests;
  plan.mRetries = 1;
  plan.mRunId = "run";
  return plan;
}

IpEndpoint Loopback(uint16_t aPort)
{
  IpEndpoint endpoint;
  endpoint.mAddress = "127.0.0.1";
  endpoint.mPort = aPort;
  return endpoint;
}

/// Report of a run against one stand-in target behind a fake look-up.
struct Report
{
  Report(unsigned aSlots, const TargetFaults& aFaults)
  {
    asio::io_context io;
    BackendServer backend(io.get_executor());
    REQUIRE(backend.Add(TargetOptions(aSlots)));
    REQUIRE(backend.ListenAdmin("127.0.0.1", 0));
    backend.Targets()[0]->SetFaults(aFaults);
    nlohmann::json instance;
    instance["address"] = "127.0.0.1";
    instance["port"] = backend.Targets()[0]->Port();
    instance["weight"] = 1;
    nlohmann::json lookup;
    lookup["ttl_ms"] = 5;
    lookup["instances"].push_back(instance);
    HttpServer entry(
      io.get_executor(),
      HttpLimits{},
      [&](HttpConnection& aConnection) -> Awaitable<void> {
        const bool expected =
          aConnection.Header().target() == "/.pollenway/lookup?service=ledger";
        TextResponse answer(
          expected ? http::status::ok : http::status::not_found, 11);
        answer.body() = lookup.dump();
        co_await aConnection.Write(std::move(answer));
      });
    REQUIRE(entry.Listen("127.0.0.1", 0));
    LoadPlan plan = MakePlan();
    plan.mBootstrap.push_back(Loopback(entry.Port()));
    const std::vector<IpEndpoint> admins = { Loopback(backend.AdminPort()) };
    LoadRun run(io.get_executor(), plan);
    ExecutionCheck check(admins, plan.mRunId);
    asio::co_spawn(
      io,
      [&]() -> Awaitable<void> {
        co_await run.Run();
        co_await check.Run(io.get_executor(), run.Statistics());
        io.stop();
      },
      asio::detached);
    io.run();
    mLoad = run.Statistics().ToJson();
    mExecutions = check.ToJson();
    mIsClean = check.IsClean();
    entry.Abort();
    backend.Stop();
  }

  nlohmann::json mLoad;
  nlohmann::json mExecutions;
  bool mIsClean = false;
};

} // namespace

// Guards against a load generator that doesn't detect faults, so that its
// checks could never fail.
TEST_CASE("a run reports lost, crossed, refused and repeated requests")
{
  TargetFaults none;
  TargetFaults crossed;
  crossed.mCrossAnswers = 1;
  TargetFaults cut;
  cut.mCutAnswers = 1;
  TargetFaults failing;
  failing.mFailing = true;
  struct Row
  {
    const char* mWhat;
    unsigned mSlots;
    TargetFaults mFaults;
    unsigned mAnswered;
    unsigned mRefused;
    unsigned mLost;
    unsigned mMismatched;
    unsigned mExecutedKeys;
    unsigned mExecutedTwice;
  };
  const unsigned n = kRequests;
  const Row rows[] = {
    { "clean", n, none, n, 0, 0, 0, n, 0 },
    // The first answer can't be crossed, as there is no earlier request.
    { "crossed answers", n, crossed, 1, 0, 0, n - 1, n, 0 },
    { "cut answers", n, cut, 0, 0, n, 0, n, n },
    { "failing", n, failing, 0, n, 0, 0, 0, 0 },
    { "shedding", 0, none, 0, n, 0, 0, 0, 0 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mWhat);
    const Report report(row.mSlots, row.mFaults);
    CAPTURE(report.mLoad.dump());
    CHECK(report.mLoad["requests"] == n);
    CHECK(report.mLoad["answered"] == row.mAnswered);
    CHECK(report.mLoad["refused"] == row.mRefused);
    CHECK(report.mLoad["lost"] == row.mLost);
    CHECK(report.mLoad["mismatched"] == row.mMismatched);
    CHECK(report.mExecutions["executed_keys"] == row.mExecutedKeys);
    CHECK(report.mExecutions["executed_twice"] == row.mExecutedTwice);
    CHECK(report.mIsClean == (row.mExecutedTwice == 0));
  }
}

// Guards against missing a refusal that falsely says "not run", and against
// counting refusals as wrongful although the workspace was not entitled.
TEST_CASE("false refusals are found")
{
  LoadStatistics statistics;
  AttemptResult refused;
  refused.mKind = AttemptResult::Kind::NotRun;
  refused.mCode = ResultCode::RateExceeded;
  for (const bool entitled : { true, false, true }) {
    statistics.RecordAttempt("workspace", refused, entitled);
  }
  CHECK(statistics.ToJson()["wrongful_refusals"] == 2);
  LoadStatistics::RequestEnd end;
  end.mKey = "run-1";
  end.mNeverRan = true;
  end.mLast = refused;
  statistics.RecordRequestEnd(end);

  asio::io_context io;
  BackendServer backend(io.get_executor());
  REQUIRE(backend.ListenAdmin("127.0.0.1", 0));
  backend.Executions().RecordExecution("workspace", "run-1");
  backend.Executions().RecordExecution("workspace", "earlierrun-2");
  const std::vector<IpEndpoint> admins = { Loopback(backend.AdminPort()) };
  ExecutionCheck check(admins, "run");
  asio::co_spawn(
    io,
    [&]() -> Awaitable<void> {
      co_await check.Run(io.get_executor(), statistics);
      backend.Stop();
    },
    asio::detached);
  io.run();
  CHECK(check.ToJson()["executed_keys"] == 1);
  CHECK(check.ToJson()["not_run_but_executed"] == 1);
  CHECK(!check.IsClean());
}
