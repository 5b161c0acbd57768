// Cost of membership for each instance, measured with the core classes on a
// simulated clock. Every message is encoded and decoded with the production
// codec. Prints a Markdown table. CPU time includes the small overhead of the
// simulation.

#include "HashOf.h"
#include "MembershipTable.h"

#include <ctime>
#include <gflags/gflags.h>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

DEFINE_uint64(seconds, 20, "simulated seconds measured");
DEFINE_uint64(target_seconds,
              6,
              "simulated seconds measured at the target size; 0 skips it");
DEFINE_uint64(loads, 2, "load summaries in each heartbeat");

using namespace pollenway;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr uint64_t kStepsPerTick = 10;
// IPv4 and TCP headers with timestamps, assuming one segment for each message.
constexpr double kHeaderBytes = 52;
// Budget of an instance at the target size (docs/design.md, section 2).
constexpr double kBudgetBytes = 22'000;
constexpr double kBudgetCore = 0.048;

struct Instance
{
  ConfigurationTracker mConfiguration;
  WithdrawalSet mWithdrawals;
  CutOffKeyPolicy mCutOff;
  std::unique_ptr<MembershipTable> mTable;
};

struct Cost
{
  double mMessages = 0; ///< Messages sent by each instance per second.
  double mFrames = 0;   ///< Bytes sent in frames by each instance per second.
  double mCpu = 0;      ///< Fraction of a core used by each instance.

  double SentAndReceived() const
  {
    return 2 * (mFrames + mMessages * kHeaderBytes);
  }
};

class Fleet
{
public:
  Fleet(unsigned aZones, unsigned aPerZone, bool aIsFullMesh = false)
    : mIsFullMesh(aIsFullMesh)
  {
    std::vector<ZoneView> views;
    for (unsigned zone = 0; zone < aZones; ++zone) {
      ZoneView view{ ZoneName("region-" + std::to_string(zone)), 0, {} };
      for (unsigned i = 0; i < aPerZone; ++i) {
        const auto name = std::to_string(zone) + "-" + std::to_string(i);
        view = WithMember(view,
                          { InstanceName("entry-" + name),
                            HashOf({ name }),
                            "10.0.0.1",
                            8080,
                            9090,
                            0 });
      }
      views.push_back(std::move(view));
    }
    for (const auto& view : views) {
      const Result<std::string> text(ZoneViewToJson(view));
      for (const auto& member : view.mMembers) {
        Add(views, view, text, member);
      }
    }
  }

  Cost Measure(uint64_t aSeconds)
  {
    Run(5);
    mMessages = mBytes = 0;
    const auto start = std::clock();
    Run(aSeconds);
    const double cpu = double(std::clock() - start) / CLOCKS_PER_SEC;
    const double n = double(mInstances.size()) * double(aSeconds);
    for (const auto& it : mInstances) {
      if (!it->mTable->Zone().MayActAsOwner(mNow)) {
        std::fprintf(stderr, "a member has lost its lease\n");
        std::exit(1);
      }
    }
    return { double(mMessages) / n, double(mBytes) / n, cpu / n };
  }

private:
  void Add(const std::vector<ZoneView>& aViews,
           const ZoneView& aOwn,
           const Result<std::string>& aText,
           const ZoneMember& aMember)
  {
    auto instance = std::make_unique<Instance>();
    instance->mWithdrawals.MarkSynchronised();
    (void)instance->mConfiguration.Accept(1000, "text");
    MembershipTable::Options options;
    options.mZone.mZone = aOwn.mZone;
    options.mZone.mSelf = aMember;
    options.mZone.mSeed = mInstances.size();
    if (mIsFullMesh) {
      options.mZone.mMaxFullMesh = size_t(-1);
    }
    instance->mTable = std::make_unique<MembershipTable>(
      options,
      MembershipTable::ProcessState{
        instance->mConfiguration, instance->mWithdrawals, instance->mCutOff },
      mNow);
    instance->mTable->OnStoreRead(mNow, aText, "v1");
    for (const auto& it : aViews) {
      instance->mTable->OfferView(mNow, it);
    }
    std::vector<peer::LoadSummary> loads;
    for (uint64_t i = 0; i < FLAGS_loads; ++i) {
      loads.push_back(
        { TargetName(aMember.mName.Text() + "-target"), 5, 1, 9, 100 });
    }
    instance->mTable->SetLoads(std::move(loads));
    mByName[aMember.mName] = mInstances.size();
    mInstances.push_back(std::move(instance));
  }

  void Run(uint64_t aSeconds)
  {
    const uint64_t steps = aSeconds * uint64_t(std::chrono::seconds(1) / kStep);
    for (uint64_t i = 0; i < steps; ++i, ++mStep) {
      mNow += kStep;
      const auto received = std::move(mInFlight);
      mInFlight.clear();
      for (const auto& [to, bytes] : received) {
        const auto message = DecodePeerMessage(bytes);
        ApplyActions(mInstances[to]->mTable->Handle(mNow, message.value()));
      }
      for (size_t n = mStep % kStepsPerTick; n < mInstances.size();
           n += kStepsPerTick) {
        ApplyActions(mInstances[n]->mTable->Tick(mNow));
      }
    }
  }

  void ApplyActions(const MembershipActions& aActions)
  {
    for (const auto& it : aActions) {
      if (const auto* send = std::get_if<act::SendPeer>(&it)) {
        auto frame = EncodePeerFrame(send->mMessage).value();
        ++mMessages;
        mBytes += frame.size();
        mInFlight.emplace_back(mByName.at(send->mTo), frame.substr(4));
      }
    }
  }

  bool mIsFullMesh;
  TimePoint mNow{ std::chrono::seconds(1) };
  uint64_t mStep = 0;
  std::vector<std::unique_ptr<Instance>> mInstances;
  std::unordered_map<InstanceName, size_t> mByName;
  std::vector<std::pair<size_t, std::string>> mInFlight;
  uint64_t mMessages = 0;
  uint64_t mBytes = 0;
};

void PrintRow(const std::string& aName, const Cost& aCost)
{
  std::printf("| %s | %.1f | %.2f | %.2f | %.3f |\n",
              aName.c_str(),
              aCost.mMessages,
              aCost.mFrames / 1000,
              aCost.SentAndReceived() / 1000,
              100 * aCost.mCpu);
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  struct Row
  {
    unsigned mZones;
    unsigned mInstancesPerZone;
  };
  const Row rows[] = { { 2, 3 }, { 6, 3 }, { 6, 8 }, { 12, 8 } };
  std::printf("| instances | messages/s sent | KB/s sent in frames | KB/s sent "
              "and received with headers | CPU, %% of a core |\n"
              "| --- | --- | --- | --- | --- |\n");
  std::vector<Cost> costs;
  for (const auto& it : rows) {
    costs.push_back(
      Fleet(it.mZones, it.mInstancesPerZone).Measure(FLAGS_seconds));
    PrintRow(std::to_string(it.mZones * it.mInstancesPerZone) + " (" +
               std::to_string(it.mZones) + " x " +
               std::to_string(it.mInstancesPerZone) + ")",
             costs.back());
  }
  const double addedInstances = 96 - 48;
  const double bytes =
    (costs[3].SentAndReceived() - costs[2].SentAndReceived()) / addedInstances;
  const double cpu = (costs[3].mCpu - costs[2].mCpu) / addedInstances;
  std::printf(
    "\nSlope from 48 to 96 instances, for each further instance: "
    "%.2f B/s and %.6f %% of a core; extrapolated to 4,800: %.1f KB/s "
    "and %.2f %%, budget %.0f KB/s and %.1f %%.\n",
    bytes,
    100 * cpu,
    (costs[3].SentAndReceived() + bytes * (4800 - 96)) / 1000,
    100 * (costs[3].mCpu + cpu * (4800 - 96)),
    kBudgetBytes / 1000,
    100 * kBudgetCore);
  std::printf("\nA zone of the target size, with heartbeats to all members "
              "and to a sample:\n\n");
  PrintRow("306 (3 x 102), all", Fleet(3, 102, true).Measure(FLAGS_seconds));
  PrintRow("306 (3 x 102), sampled", Fleet(3, 102).Measure(FLAGS_seconds));
  if (FLAGS_target_seconds) {
    std::printf("\nMeasured at the target size:\n\n");
    PrintRow("4,794 (47 x 102)", Fleet(47, 102).Measure(FLAGS_target_seconds));
  }
}
