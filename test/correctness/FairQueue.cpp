#include "FairQueue.h"

#include "Random.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

const WorkspaceName kLarge("large");
const WorkspaceName kSmall("small");
const TimePoint kNow(10s);
const TimePoint kLater(20s);

} // namespace

// Guards against a workspace that gets more than its weighted share of a full
// target by queueing more requests.
TEST_CASE("service follows the weights")
{
  struct Row
  {
    double mLarge;
    double mSmall;
    int mServedSmall;
  };
  for (const auto& row : { Row{ 1, 1, 60 },
                           Row{ 3, 1, 30 },
                           Row{ 1, 5, 100 },
                           Row{ 0.5, 0.25, 40 } }) {
    FairQueue<std::string> queue({ .mLimit = 400, .mWorkspaceLimit = 200 });
    for (int i = 0; i < 200; ++i) {
      queue.Push(kLarge, row.mLarge, kLater, "large");
      queue.Push(kSmall, row.mSmall, kLater, "small");
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 120; ++i) {
      ++served[*queue.Pop(kNow)];
    }
    CAPTURE(row.mLarge);
    CHECK(std::abs(served["small"] - row.mServedSmall) <= 1);
  }
}

// Guards against one workspace that fills the queue, so that requests of others
// are refused.
TEST_CASE("a workspace can't fill the queue")
{
  FairQueue<int> queue({ .mLimit = 4, .mWorkspaceLimit = 3 });
  for (int i = 0; i < 3; ++i) {
    CHECK(queue.Push(kLarge, 1, kLater, i).mId != 0);
  }
  const auto fourth = queue.Push(kLarge, 1, kLater, 3);
  CHECK(fourth.mId == 0);
  CHECK(fourth.mRefused == 3);
  CHECK(queue.Push(kSmall, 1, kLater, 10).mId != 0);
  // The queue is full. The newest entry of the longest workspace queue is
  // replaced, but not if the other workspace's queue would become as long.
  const auto second = queue.Push(kSmall, 1, kLater, 11);
  CHECK(second.mId != 0);
  CHECK(second.mRefused == 2);
  CHECK(queue.Push(kSmall, 1, kLater, 12).mRefused == 12);
  CHECK(queue.SizeOf(kLarge) == 2);
  CHECK(queue.Size() == 4);
}

// Guards against requests that are started after their deadline or after their
// caller has disconnected, and against expired requests that get no answer.
TEST_CASE("expired and removed entries never start")
{
  FairQueue<int> queue;
  queue.Push(kLarge, 1, kNow, 1);
  queue.Push(kLarge, 1, kLater, 2);
  const auto third = queue.Push(kSmall, 1, kLater, 3);
  CHECK(queue.NextDeadline() == kNow);
  CHECK(queue.Remove(third.mId) == 3);
  CHECK_FALSE(queue.Remove(third.mId));
  CHECK(queue.Pop(kNow) == 2);
  CHECK_FALSE(queue.Pop(kNow));
  CHECK(queue.TakeExpired(kNow) == std::vector<int>{ 1 });
  CHECK(queue.TakeExpired(kNow).empty());
  queue.Push(kSmall, 1, kLater, 4);
  CHECK(queue.TakeAll() == std::vector<int>{ 4 });
  CHECK(queue.IsEmpty());
}

// Guards against lost or duplicate entries for any order of calls.
TEST_CASE("every entry leaves the queue exactly once")
{
  Random random(7);
  FairQueue<int> queue({ .mLimit = 8, .mWorkspaceLimit = 4 });
  std::map<int, int> timesRemoved;
  std::vector<uint64_t> ids;
  int pushed = 0;
  for (int step = 0; step < 20000; ++step) {
    const TimePoint now{ Duration(step) };
    if (random.Chance(0.6)) {
      auto result = queue.Push(WorkspaceName(std::to_string(random.Below(5))),
                               0.5 + random.Uniform(),
                               now + Duration(random.Below(30)),
                               pushed++);
      if (result.mRefused) {
        ++timesRemoved[*result.mRefused];
      }
      ids.push_back(result.mId);
    } else if (random.Chance(0.8)) {
      if (auto it = queue.Pop(now)) {
        ++timesRemoved[*it];
      }
    } else if (!ids.empty()) {
      if (auto it = queue.Remove(ids[random.Below(ids.size())])) {
        ++timesRemoved[*it];
      }
    }
    for (int it : queue.TakeExpired(now)) {
      ++timesRemoved[it];
    }
  }
  for (int it : queue.TakeAll()) {
    ++timesRemoved[it];
  }
  CHECK(int(timesRemoved.size()) == pushed);
  for (const auto& [item, n] : timesRemoved) {
    REQUIRE(n == 1);
  }
}
