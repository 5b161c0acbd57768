#include "LateRequestFixture.h"
#include "ResultCode.h"
#include "StopSchedule.h"

#include <algorithm>
#include <utility>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

/// A repeatable route, an unrepeatable one and one for uploads.
const std::string kPaths[] = { "/safe/a", "/once/a", "/upload/a" };

bool IsRepeatable(const LateRequest& aRequest)
{
  return aRequest.mPath.starts_with("/safe/");
}

std::vector<LateRequest> ForEachRoute(const std::vector<LateRequest>& aRows)
{
  std::vector<LateRequest> out;
  for (const auto& path : kPaths) {
    for (const auto& row : aRows) {
      out.push_back(row);
      out.back().mPath = path;
    }
  }
  return out;
}

std::string Describe(const LateRequest& aRequest)
{
  return aRequest.mPath + " arrival " + std::to_string(int(aRequest.mArrival)) +
         " sent " + std::to_string(ToSeconds(aRequest.mSentAt)) + " rest " +
         std::to_string(ToSeconds(aRequest.mRestAt)) + " work " +
         std::to_string(ToSeconds(aRequest.mWork)) + " answer " +
         std::to_string(aRequest.mAnswerBytes);
}

} // namespace

// Guards against requests that come late in the grace of a planned stop, are
// passed on and then cut without an answer, and against a refusal that says of
// a request that a target began that it has not run.
TEST_CASE("a request that comes late in a stop is answered or not passed on")
{
  for (const Duration grace : { 0ms, 1000ms, 6000ms, 10000ms }) {
    CAPTURE(ToSeconds(grace));
    const auto schedule = MakeStopSchedule(grace);
    const Duration served = schedule.mCallersServed;
    const Duration last = schedule.mTargetDeadline;
    const Duration ended = schedule.mRequestsEnded;
    std::vector<LateRequest> rows;
    for (const Duration work : { 50ms, 1500ms, 15000ms }) {
      const auto add = [&](Arrival aArrival, Duration aSent, Duration aRest) {
        rows.push_back({ .mArrival = aArrival,
                         .mSentAt = aSent,
                         .mRestAt = std::max(aRest, aSent),
                         .mWork = work });
      };
      for (const auto arrival :
           { Arrival::KeptConnection, Arrival::NewConnection }) {
        for (const Duration sent : { -100ms, -2ms, 2ms, 20ms }) {
          add(arrival, served + sent, 0s);
        }
      }
      add(Arrival::KeptConnection, -100ms, 0s);
      add(Arrival::KeptConnection, last - 50ms, 0s);
      add(Arrival::Pipelined, served - 50ms, 0s);
      for (const auto arrival : { Arrival::SplitHeader, Arrival::SplitBody }) {
        add(arrival, served - 50ms, served + 10ms);
        add(arrival, served - 50ms, last - 100ms);
        add(arrival, served - 50ms, last + 20ms);
        add(arrival, -50ms, ended + 20ms);
      }
    }
    const auto requests = ForEachRoute(rows);
    LateRequestFixture fixture(grace);
    const auto outcomes = fixture.Run(requests);
    for (size_t n = 0; n < requests.size(); ++n) {
      const auto& outcome = outcomes[n];
      CAPTURE(Describe(requests[n]));
      if (outcome.mStarts > 0) {
        CHECK(outcome.mStatus != 0);
        CHECK(outcome.mStatus != 503);
      }
      if (outcome.mStatus == 503) {
        CHECK(outcome.mCode == std::to_string(int(ResultCode::Stopping)));
        CHECK(outcome.mHasRetryAfter);
      }
      CHECK((IsRepeatable(requests[n]) || outcome.mStarts <= 1));
    }
    CHECK(fixture.StoppedAfter() < std::max<Duration>(grace, 100ms));
  }
}

// Guards against requests that a stopping instance passes on although their
// target can't answer in the time that is left: it ends them, and a caller may
// not repeat each of them. Refused as not run, they can run elsewhere.
TEST_CASE("a request is refused if the process ends too soon for its answer")
{
  struct Row
  {
    Duration mGrace;
    std::vector<LateRequest> mRequests;
  };
  const Row rows[] = {
    { 6s,
      ForEachRoute({ { .mArrival = Arrival::SplitHeader,
                       .mSentAt = 2900ms,
                       .mRestAt = 5100ms,
                       .mWork = 1500ms },
                     { .mArrival = Arrival::SplitBody,
                       .mSentAt = 2900ms,
                       .mRestAt = 4900ms,
                       .mWork = 1500ms } }) },
    // The budget has one retry.
    { 6s,
      { { .mPath = "/once/a",
          .mSentAt = 2800ms,
          .mWork = 1500ms,
          .mShedAfter = 2200ms } } },
    { 1s, ForEachRoute({ { .mSentAt = 700ms, .mWork = 400ms } }) },
  };
  for (const auto& row : rows) {
    CAPTURE(ToSeconds(row.mGrace));
    LateRequestFixture fixture(row.mGrace);
    const auto outcomes = fixture.Run(row.mRequests);
    for (size_t n = 0; n < outcomes.size(); ++n) {
      CAPTURE(Describe(row.mRequests[n]));
      CHECK(outcomes[n].mStarts == 0);
      CHECK(outcomes[n].mStatus == 503);
      CHECK(outcomes[n].mCode == std::to_string(int(ResultCode::Stopping)));
      CHECK(outcomes[n].mHasRetryAfter);
    }
  }
}
