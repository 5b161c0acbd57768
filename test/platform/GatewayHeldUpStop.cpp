#include "LateRequestFixture.h"

#include <algorithm>
#include <utility>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

/// A repeatable route, an unrepeatable one and one for uploads.
const std::string kPaths[] = { "/safe/a", "/once/a", "/upload/a" };

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

// Guards against a planned stop that replaces answers which have arrived by its
// own, because the process was held up past its time for them.
TEST_CASE("an answer that arrives while a stopping process is held up is given")
{
  struct Row
  {
    Duration mFrom;
    Duration mUntil;
  };
  const Row rows[] = { { 4900ms, 5250ms },
                       { 4900ms, 5400ms },
                       { 4900ms, 5600ms },
                       { 5300ms, 5700ms } };
  for (const auto& row : rows) {
    CAPTURE(ToSeconds(row.mFrom));
    CAPTURE(ToSeconds(row.mUntil));
    std::vector<LateRequest> requests;
    for (const size_t bytes : { 20, 60'000, 200'000 }) {
      for (const Duration work : { 2300ms, 15000ms }) {
        requests.push_back(
          { .mSentAt = 2800ms, .mWork = work, .mAnswerBytes = bytes });
      }
      requests.push_back(
        { .mSentAt = -100ms, .mWork = 5200ms, .mAnswerBytes = bytes });
    }
    requests = ForEachRoute(requests);
    LateRequestFixture fixture(6s);
    fixture.HoldUp(row.mFrom, row.mUntil);
    const auto outcomes = fixture.Run(requests);
    for (size_t n = 0; n < outcomes.size(); ++n) {
      CAPTURE(Describe(requests[n]));
      const auto& outcome = outcomes[n];
      CHECK(outcome.mCompletions + outcome.mExpiries == 1);
      CHECK(outcome.mStatus == (outcome.mCompletions > 0 ? 200 : 504));
      // The answer is the target's.
      CHECK(outcome.mCode == "");
    }
  }
}
