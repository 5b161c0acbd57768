#include "ZoneReader.h"

#include <doctest/doctest.h>

#include <set>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 100s };

InstanceSummary Summary(int aNumber, const std::string& aZone, bool aReady)
{
  InstanceSummary out;
  out.mName = InstanceName("edge-" + std::to_string(aNumber));
  out.mIncarnation = 1;
  out.mSequence = 1;
  out.mZone = ZoneName(aZone);
  out.mReady = aReady;
  return out;
}

/// Returns the reader that instance `aSelf` of `aCount` instances chooses.
std::string ReaderSeenBy(int aSelf, int aCount, TimePoint aNow = kNow)
{
  const InstanceName self("edge-" + std::to_string(aSelf));
  InstanceTable table(self);
  for (int n = 0; n < aCount; ++n) {
    table.OnSummary(Summary(n, "z", true), kNow);
    table.OnSummary(Summary(100 + n, "other", true), kNow);
  }
  const auto* reader = FindZoneReader(table, self, true, ZoneName("z"), aNow);
  return reader ? reader->mSummary.mName.Text() : self.Text();
}

} // namespace

// Guards against two instances that follow each other, and against a store
// that every instance of a zone reads.
TEST_CASE(
  "all instances of a zone, the reader included, choose the same reader")
{
  std::set<std::string> readers;
  for (int n = 0; n < 20; ++n) {
    readers.insert(ReaderSeenBy(n, 20));
  }
  CHECK(readers.size() == 1);
}

// Guards against following an instance that is silent, stopping or of another
// zone.
TEST_CASE("only live and ready instances of the zone are readers")
{
  const TimePoint later = kNow + InstanceTable::kSilenceTimeout;
  for (int n = 0; n < 5; ++n) {
    CHECK(ReaderSeenBy(n, 5, later) == "edge-" + std::to_string(n));
  }
  const InstanceName self("edge-0");
  InstanceTable table(self);
  table.OnSummary(Summary(1, "z", false), kNow);
  table.OnSummary(Summary(2, "other", true), kNow);
  CHECK_FALSE(FindZoneReader(table, self, false, ZoneName("z"), kNow));
  table.OnSummary(Summary(3, "z", true), kNow);
  CHECK(FindZoneReader(table, self, false, ZoneName("z"), kNow) != nullptr);
}
