#include "Random.h"
#include "SlotTable.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

const TargetName kTarget("t");
constexpr unsigned kSlots = 4;
constexpr Duration kTimeout = 500ms;

struct Instance
{
  std::unique_ptr<SlotTable> mTable = std::make_unique<SlotTable>();
  unsigned mIncarnation = 0;
};

struct Running
{
  unsigned mInstance = 0;
  unsigned mIncarnation = 0;
  SlotTicket mTicket;
  TimePoint mEndsAt{};
};

InstanceName NameOf(unsigned aInstance)
{
  return InstanceName("i" + std::to_string(aInstance));
}

} // namespace

// Guards against more requests at a target than it has slots, in any order of
// handovers, evictions and late, lost and repeated reports, and against slots
// that stay occupied after all requests have ended.
TEST_CASE("handovers and evictions never exceed the slots")
{
  Random random(11);
  TimePoint now(1s);
  std::vector<Instance> instances(3);
  unsigned owner = 0;
  std::vector<Running> running;
  const SlotLimits limits{ .mSlots = kSlots, .mTimeout = kTimeout };
  instances[0].mTable->SetTarget(kTarget, limits);
  instances[0].mTable->TakeOverUnowned(kTarget);
  TimePoint probeSent = now;
  unsigned probeLoad = 0;
  uint64_t started = 0;
  for (int step = 0; step < 60000; ++step) {
    now += 1ms;
    std::erase_if(running, [&](const Running& aRunning) {
      auto& instance = instances[aRunning.mInstance];
      if (aRunning.mEndsAt <= now &&
          instance.mIncarnation == aRunning.mIncarnation) {
        instance.mTable->Release(aRunning.mTicket);
      }
      return aRunning.mEndsAt <= now;
    });
    auto& table = *instances[owner].mTable;
    if (random.Chance(0.4)) {
      if (auto ticket = table.Acquire(kTarget, now)) {
        ++started;
        running.push_back(
          { .mInstance = owner,
            .mIncarnation = instances[owner].mIncarnation,
            .mTicket = *ticket,
            .mEndsAt =
              now + std::chrono::milliseconds(
                      1 + random.Below(random.Chance(0.9) ? 20 : 490)) });
      }
    }
    REQUIRE(running.size() <= kSlots);
    const unsigned other = unsigned((owner + 1 + random.Below(2)) % 3);
    if (random.Chance(0.01)) {
      const auto handover = table.ReleaseOwnership(kTarget, NameOf(owner), now);
      owner = other;
      instances[owner].mTable->SetTarget(kTarget, limits);
      instances[owner].mTable->TakeOver(handover, NameOf(owner), now);
      if (random.Chance(0.2)) {
        instances[owner].mTable->TakeOver(handover, NameOf(owner), now);
      }
    } else if (random.Chance(0.003)) {
      // The owner dies; its requests continue at the target.
      instances[owner].mTable = std::make_unique<SlotTable>();
      ++instances[owner].mIncarnation;
      const auto dead = NameOf(owner);
      owner = other;
      instances[owner].mTable->SetTarget(kTarget, limits);
      instances[owner].mTable->TakeOverFromEvicted(kTarget, now);
      instances[owner].mTable->OnFormerOwnerDied(dead, now);
    } else if (random.Chance(0.002)) {
      // A former owner dies before it could report.
      instances[other].mTable = std::make_unique<SlotTable>();
      ++instances[other].mIncarnation;
      table.OnFormerOwnerDied(NameOf(other), now);
    } else if (random.Chance(0.1)) {
      const auto& former = *instances[other].mTable;
      table.OnFormerOwnerReport(
        kTarget, NameOf(other), former.InFlight(kTarget), 0);
    } else if (random.Chance(0.1)) {
      // The answer to the previous probe arrives; the next probe is sent.
      table.OnLoadReport(kTarget, probeLoad, probeSent, now);
      probeSent = now;
      probeLoad = unsigned(running.size());
    }
  }
  CHECK(started > 3000);
  now += 2 * kTimeout;
  for (const auto& it : running) {
    auto& instance = instances[it.mInstance];
    if (instance.mIncarnation == it.mIncarnation) {
      instance.mTable->Release(it.mTicket);
    }
  }
  for (unsigned i = 0; i < 3; ++i) {
    instances[owner].mTable->OnFormerOwnerReport(kTarget, NameOf(i), 0, 0);
  }
  CHECK(instances[owner].mTable->OccupiedSlots(kTarget, now) == 0);
}
