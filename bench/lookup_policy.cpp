// Cost of a look-up decision at 18 and 4,800 instances, compared with a
// baseline that selects the nearest region and random instances.
#include "HashOf.h"
#include "LookupPolicy.h"
#include "Random.h"

#include <benchmark/benchmark.h>

using namespace pollenway;

namespace {

constexpr uint64_t kSeed = 31;
constexpr size_t kBlocks = 35'000;

/// Size of a deployment.
struct Shape
{
  size_t mRegions;
  size_t mZones;
  size_t mInstances;
};

constexpr Shape kShapes[] = { { 3, 6, 18 }, { 12, 47, 4'800 } };

struct Fixture
{
  std::shared_ptr<Inventory> mInventory = std::make_shared<Inventory>();
  std::vector<SteeringInstance> mInstances;
  ClientBlockTable mBlocks;
  std::unique_ptr<HeadroomTracker> mTracker;
  std::unique_ptr<LookupPolicy> mPolicy;
  std::vector<LookupRequest> mRequests;

  explicit Fixture(const Shape& aShape)
  {
    mInventory->mRegions.resize(aShape.mRegions);
    for (size_t i = 0; i < aShape.mZones; ++i) {
      Region& region = mInventory->mRegions[i % aShape.mRegions];
      region.mName = RegionName("region" + std::to_string(i % aShape.mRegions));
      region.mCapacity = 1e9;
      const ZoneName zone("zone" + std::to_string(i));
      region.mZones.push_back(zone);
      mInventory->mPlaces.push_back(
        { .mName = PlaceName("place" + std::to_string(i)),
          .mZone = zone,
          .mState = Lifecycle::Live,
          .mSuccessor = {} });
      Target target;
      target.mName = TargetName("target" + std::to_string(i));
      target.mService = ServiceName("lookup");
      target.mPlace = mInventory->mPlaces.back().mName;
      mInventory->mTargets.push_back(target);
    }
    for (size_t i = 0; i < aShape.mRegions; ++i) {
      for (size_t j = 0; j < i; ++j) {
        mInventory->mLinks.push_back(
          { .mFrom = mInventory->mRegions[i].mName,
            .mTo = mInventory->mRegions[j].mName,
            .mBitsPerSecond = 4e9,
            .mLatencyMs = double(20 + 5 * (i - j)) });
      }
    }
    Service service;
    service.mName = ServiceName("lookup");
    mInventory->mServices.push_back(service);
    for (size_t i = 0; i < aShape.mInstances; ++i) {
      SteeringInstance it;
      it.mName = InstanceName("entry" + std::to_string(i));
      it.mZone = ZoneName("zone" + std::to_string(i % aShape.mZones));
      it.mAddress = "10.0." + std::to_string(i / 250) + ".1";
      it.mPort = 8000;
      mInstances.push_back(it);
    }
    Random random(kSeed);
    while (mBlocks.Size() < kBlocks) {
      const IpPrefix block(IpAddress::FromV4(uint32_t(random.Next())), 24);
      benchmark::DoNotOptimize(mBlocks.Insert(
        block, mInventory->mRegions[random.Below(aShape.mRegions)].mName));
      mRequests.push_back({ .mClient = block.Address(),
                            .mService = ServiceName("lookup"),
                            .mWorkspace = {} });
    }
    // The instance has enough loans from all zones to answer each look-up.
    const HeadroomOptions headroom{ .mSelf = { InstanceName("entry0"), 1 },
                                    .mZone = ZoneName("zone0"),
                                    .mUnmeasuredReserve = 0 };
    mTracker = std::make_unique<HeadroomTracker>(headroom, *mInventory);
    mPolicy = std::make_unique<LookupPolicy>(
      LookupOptions{ .mSelf = InstanceName("entry0"),
                     .mZone = ZoneName("zone0") },
      mBlocks,
      *mTracker);
    mTracker->ApplyZoneView({ .mNumber = 1, .mMembers = { headroom.mSelf } },
                            TimePoint());
    mPolicy->SetView(View(), TimePoint());
  }

  SteeringView View() const
  {
    return { .mInventory = mInventory, .mInstances = mInstances };
  }

  void RenewLoans(TimePoint aNow)
  {
    std::vector<HeadroomLoan> loans;
    for (const auto& region : mInventory->mRegions) {
      for (const auto& zone : region.mZones) {
        loans.push_back({ .mZone = zone, .mRate = 1e8 });
      }
    }
    mTracker->OnLoans(InstanceName("lender"), loans, aNow, aNow);
  }
};

Fixture& FixtureOf(size_t aShape)
{
  static std::unique_ptr<Fixture> fixtures[std::size(kShapes)];
  if (!fixtures[aShape]) {
    fixtures[aShape] = std::make_unique<Fixture>(kShapes[aShape]);
  }
  return *fixtures[aShape];
}

void Decide(benchmark::State& aState)
{
  Fixture& fixture = FixtureOf(size_t(aState.range(0)));
  static TimePoint now;
  size_t n = 0;
  size_t answered = 0;
  for (auto _ : aState) {
    // 20,000 look-ups/s; loans are renewed every second.
    now += std::chrono::microseconds(50);
    if (n % 20'000 == 0) {
      fixture.RenewLoans(now);
      fixture.mPolicy->Tick(now);
    }
    const auto decision = fixture.mPolicy->Decide(
      fixture.mRequests[n++ % fixture.mRequests.size()], now);
    answered += decision.mCode == ResultCode::Ok;
  }
  aState.counters["answered_share"] = double(answered) / double(n);
}

/// Returns three random instances of the client block's region, without
/// headroom, shifts and stable selection.
void DecideBaseline(benchmark::State& aState)
{
  Fixture& fixture = FixtureOf(size_t(aState.range(0)));
  Random random(kSeed);
  std::map<RegionName, std::vector<const SteeringInstance*>> instances;
  for (const auto& it : fixture.mInstances) {
    instances[fixture.mInventory->RegionOfZone(it.mZone)->mName].push_back(&it);
  }
  size_t n = 0;
  for (auto _ : aState) {
    const auto& request = fixture.mRequests[n++ % fixture.mRequests.size()];
    const auto match = fixture.mBlocks.Find(request.mClient);
    LookupDecision out;
    out.mRegion = fixture.mBlocks.NameOf(match->mRegion);
    const auto& list = instances.find(out.mRegion)->second;
    for (int i = 0; i < 3; ++i) {
      const auto* it = list[random.Below(list.size())];
      out.mInstances.push_back({ .mName = it->mName,
                                 .mAddress = it->mAddress,
                                 .mPort = it->mPort,
                                 .mWeight = 33 });
    }
    benchmark::DoNotOptimize(out);
  }
}

/// Cost of applying a new view.
void SetView(benchmark::State& aState)
{
  Fixture& fixture = FixtureOf(size_t(aState.range(0)));
  for (auto _ : aState) {
    fixture.mPolicy->SetView(fixture.View(), TimePoint());
  }
}

BENCHMARK(Decide)->Arg(0)->Arg(1)->ArgName("shape");
BENCHMARK(DecideBaseline)->Arg(0)->Arg(1)->ArgName("shape");
BENCHMARK(SetView)->Arg(0)->Arg(1)->ArgName("shape")->Unit(
  benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
