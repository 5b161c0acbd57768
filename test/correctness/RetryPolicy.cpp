#include "RetryPolicy.h"

#include "Random.h"

#include <doctest/doctest.h>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow(10s);
constexpr auto kIdempotent = RouteExecution::Idempotent;
constexpr auto kOnce = RouteExecution::AtMostOnce;

} // namespace

// Guards against retries of requests that may have run, and against refusals
// whose outcome contradicts what is known of the request.
TEST_CASE("retries and refusals follow what is known of the attempt")
{
  struct Row
  {
    RouteExecution mExecution;
    AttemptFailure mFailure;
    bool mSent;
    bool mEarlier;
    bool mRetry;
    ResultCode mCode; // If not retried.
  };
  using F = AttemptFailure;
  using C = ResultCode;
  const Row rows[] = {
    { kOnce, F::ConnectFailed, false, false, true, C::NoTarget },
    { kOnce, F::Shed, true, false, true, C::NoHeadroom },
    { kOnce, F::ConnectionLost, false, false, true, C::NoTarget },
    { kOnce, F::ConnectionLost, true, false, false, C::BackendConnectionLost },
    { kOnce, F::Shed, true, true, false, C::BackendConnectionLost },
    { kOnce, F::AnswerCut, true, false, false, C::AnswerIncomplete },
    { kOnce, F::Timeout, true, false, false, C::BackendTimeout },
    { RouteExecution::Unprotected,
      F::ConnectionLost,
      true,
      false,
      false,
      C::BackendConnectionLost },
    { kIdempotent,
      F::ConnectionLost,
      true,
      false,
      true,
      C::BackendConnectionLost },
    { kIdempotent,
      F::ConnectFailed,
      false,
      true,
      true,
      C::BackendConnectionLost },
    { kIdempotent, F::AnswerCut, true, false, true, C::AnswerIncomplete },
  };
  const RetryPolicy policy;
  for (const auto& row : rows) {
    CAPTURE(&row - rows);
    AttemptReport report{ .mExecution = row.mExecution,
                          .mFailure = row.mFailure,
                          .mBytesSent = row.mSent,
                          .mEarlierMayHaveRun = row.mEarlier,
                          .mDeadline = kNow + 1s };
    RetryBudget budget;
    CHECK(policy.Decide(report, budget, kNow).mRetry == row.mRetry);
    RetryBudget empty({ .mInitial = 0 });
    const auto refused = policy.Decide(report, empty, kNow);
    CHECK_FALSE(refused.mRetry);
    CHECK(refused.mCode == row.mCode);
    report.mAnswerStarted = true;
    CHECK_FALSE(policy.Decide(report, budget, kNow).mRetry);
  }
}

// Guards against retries that can't complete in time, and against the outcome
// "not run" for a request whose deadline passed after it was sent.
TEST_CASE("no retry after the deadline")
{
  const RetryPolicy policy;
  RetryBudget budget;
  AttemptReport report{ .mExecution = kIdempotent,
                        .mFailure = AttemptFailure::ConnectFailed,
                        .mBytesSent = false,
                        .mDeadline = kNow };
  CHECK(policy.Decide(report, budget, kNow).mCode ==
        ResultCode::DeadlineBeforeStart);
  report.mEarlierMayHaveRun = true;
  CHECK(policy.Decide(report, budget, kNow).mCode ==
        ResultCode::BackendTimeout);
  CHECK(budget.Retries() == 0);
}

// Guards against any combination in which a request is refused as not run
// although a byte may have reached a backend server that did not report it as
// shed.
TEST_CASE("no combination is wrongly refused as not run")
{
  const RetryPolicy policy;
  Random random(3);
  for (int i = 0; i < 20000; ++i) {
    AttemptReport report{ .mExecution = RouteExecution(random.Below(3)),
                          .mFailure = AttemptFailure(random.Below(5)),
                          .mBytesSent = random.Chance(0.5),
                          .mEarlierMayHaveRun = random.Chance(0.5),
                          .mAnswerStarted = random.Chance(0.2),
                          .mCanSendAgain = random.Chance(0.8),
                          .mAttempts = unsigned(1 + random.Below(4)),
                          .mDeadline = kNow + random.Below(100) * 1ms - 20ms };
    RetryBudget budget({ .mInitial = double(random.Below(2)) });
    const auto decision = policy.Decide(report, budget, kNow);
    const bool started =
      report.mEarlierMayHaveRun || report.mAnswerStarted ||
      (report.mBytesSent && report.mFailure != AttemptFailure::Shed);
    if (started && decision.mRetry) {
      REQUIRE(report.mExecution == RouteExecution::Idempotent);
    }
    if (started && !decision.mRetry) {
      REQUIRE(OutcomeOf(decision.mCode) != Outcome::NotRun);
    }
  }
}

// Guards against a retry storm: retries are limited to a tenth of the requests.
TEST_CASE("the retry budget is a tenth of requests")
{
  RetryBudget budget;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    budget.TryRetry();
    budget.TryRetry();
  }
  CHECK(budget.Retries() == 103);
  for (int i = 0; i < 100000; ++i) {
    budget.OnRequest();
  }
  unsigned saved = 0;
  while (budget.TryRetry()) {
    ++saved;
  }
  CHECK(saved == 20);
}
