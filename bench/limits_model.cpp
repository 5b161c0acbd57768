// Simulation of the fleet-wide limits: the core classes on a simulated network
// without faults, compared with one ideal bucket for the same arrivals.
#include "AccountClient.h"
#include "AccountHolder.h"
#include "Random.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_uint64(requests, 300000, "requests in each run");
DEFINE_bool(options, false, "also run alternative options of the balancer");
DEFINE_bool(
  no_movement,
  false,
  "also run the baselines without share movement, which take minutes");

using namespace pollenway;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kZones = 6;
constexpr size_t kInstances = 17;
const Duration kWarmUpTime = seconds(120);

enum class Policy
{
  Default,
  Exchange, ///< Equal shares that don't move; owners exchange tokens.
  Static,   ///< Each instance has 1/17 of rate and burst.
};

enum class Callers
{
  AnyInstance,
  ZoneOwner,     ///< Look-ups return the owner in the caller's zone.
  MaxShareOwner, ///< Look-ups return the owner in the zone with the largest
                 ///< share.
};

struct Setup
{
  std::string mName;
  double mRate = 0;
  double mBurst = 0;
  Policy mPolicy = Policy::Default;
  Callers mCallers = Callers::AnyInstance;
  /// Fraction of the callers in the first zone. The other zones have equal
  /// parts of the rest.
  double mFirstZoneFraction = 1.0 / kZones;
  AccountHolder::Options mHolder{};
  AccountClient::Options mClient{};
  /// Unless zero, the first zone is cut off after half of the requests and the
  /// load changes to this multiple of the rate.
  double mCutOffLoadFactor = 0;
};

struct Figures
{
  uint64_t mRequests = 0;
  uint64_t mWrongfulRefusals = 0;
  uint64_t mRefused = 0;
  uint64_t mIdealRefused = 0;
  uint64_t mMessages = 0;
  uint64_t mMoves = 0;
  double mWaitMs = 0;
  /// Served requests in the first zone and in the others, as fractions of their
  /// shares by the demand before the first zone was cut off.
  double mCutOffServed = 0;
  double mOtherServed = 0;

  double Fraction(uint64_t aCount) const
  {
    return mRequests ? double(aCount) / double(mRequests) : 0;
  }
};

Duration Latency(size_t aFrom, size_t aTo)
{
  return aFrom == aTo           ? Duration(microseconds(200))
         : aFrom / 2 == aTo / 2 ? Duration(microseconds(500))
                                : Duration(milliseconds(55));
}

class Model
{
public:
  explicit Model(const Setup& aSetup)
    : mSetup(aSetup)
    , mRandom(FLAGS_seed)
    , mIdeal(aSetup.mRate, aSetup.mBurst, TimePoint{})
  {
    for (size_t n = 0; n < kZones; ++n) {
      mZones.emplace_back("zone-" + std::to_string(n));
    }
    AccountHolder::Options options = aSetup.mHolder;
    if (aSetup.mPolicy == Policy::Exchange) {
      options.mBalancer.mMinRate = 0;
      options.mBalancer.mMinBurstPerZone = 0;
      options.mBalancer.mMoveInterval = std::chrono::hours(100000);
    }
    for (size_t n = 0; n < kInstances; ++n) {
      mNames.emplace_back("instance-" + std::to_string(n));
      mClients.emplace_back(mNames[n], mZones[ZoneOf(n)], aSetup.mClient);
      mStatic.emplace_back(
        aSetup.mRate / kInstances, aSetup.mBurst / kInstances, TimePoint{});
    }
    for (size_t n = 0; n < kZones; ++n) {
      std::vector<AccountHolder::Peer> peers;
      for (size_t to = 0; to < kZones; ++to) {
        if (to != n) {
          peers.push_back({ mZones[to], Latency(n, to) });
        }
      }
      auto& holder = mHolders.emplace_back(std::make_unique<AccountHolder>(
        mNames[n * 3], mZones[n], peers, options));
      holder->SetTotal(1, aSetup.mRate, aSetup.mBurst, mNow);
      holder->BeginTakeover(1, {}, mNow);
      At(milliseconds(n), [this, n] { Tick(n); });
      At(milliseconds(7 * n), [this, n] { Heartbeat(n); });
    }
    mWaiting.resize(kInstances);
    At(seconds(5), [this] { OnArrival(); });
  }

  Figures Run()
  {
    while (mFigures.mRequests < FLAGS_requests) {
      Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mAction();
    }
    if (mIsCutOff) {
      const double time = ToSeconds(mNow - mCutOffAt);
      const double zoneShare = mSetup.mRate * mSetup.mFirstZoneFraction * time;
      const double otherShare = mSetup.mRate * time - zoneShare;
      mFigures.mCutOffServed = double(mCutOffServed) / zoneShare;
      mFigures.mOtherServed = double(mOtherServed) / otherShare;
    }
    mFigures.mMessages -= mMessagesBefore;
    mFigures.mWaitMs /= double(mFigures.mRequests);
    return mFigures;
  }

private:
  struct Event
  {
    TimePoint mAt;
    uint64_t mSerial = 0;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mSerial > aOther.mSerial;
    }
  };

  struct Request
  {
    bool mCounted = false;
    bool mIdealAdmits = false;
    TimePoint mArrivedAt;
    size_t mZone = 0;
  };

  static size_t ZoneOf(size_t aInstance) { return aInstance / 3; }

  size_t IndexOf(const ZoneName& aZone) const
  {
    return size_t(std::find(mZones.begin(), mZones.end(), aZone) -
                  mZones.begin());
  }

  void At(Duration aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aDelay, ++mSerial, std::move(aAction) });
  }

  bool IsCutOff(size_t aFrom, size_t aTo) const
  {
    return mIsCutOff && aFrom != aTo && (aFrom == 0 || aTo == 0);
  }

  void Send(size_t aFrom, size_t aTo, std::function<void()> aAction)
  {
    ++mFigures.mMessages;
    if (!IsCutOff(aFrom, aTo)) {
      At(Latency(aFrom, aTo), std::move(aAction));
    }
  }

  void OnArrival()
  {
    const bool isWarmedUp = mNow - TimePoint{} >= kWarmUpTime;
    if (mSetup.mCutOffLoadFactor > 0 && !mIsCutOff &&
        mFigures.mRequests > FLAGS_requests / 2) {
      mIsCutOff = true;
      mCutOffAt = mNow;
    }
    const double load = mIsCutOff ? mSetup.mCutOffLoadFactor : 0.9;
    At(FromSeconds(mRandom.Exponential(1 / (mSetup.mRate * load))),
       [this] { OnArrival(); });
    const size_t zone = mRandom.Chance(mSetup.mFirstZoneFraction)
                          ? 0
                          : 1 + mRandom.Below(kZones - 1);
    size_t instance = zone * 3 + mRandom.Below(zone == kZones - 1 ? 2 : 3);
    if (mSetup.mCallers == Callers::ZoneOwner) {
      instance = zone * 3;
    } else if (mSetup.mCallers == Callers::MaxShareOwner && mAllotment) {
      size_t maxShareZone = 0;
      for (size_t n = 0; n < kZones; ++n) {
        if (mAllotment->Fraction(mZones[n]) >
            mAllotment->Fraction(mZones[maxShareZone])) {
          maxShareZone = n;
        }
      }
      instance = maxShareZone * 3;
    }
    if (!isWarmedUp) {
      mMessagesBefore = mFigures.mMessages;
    }
    const Request request{ .mCounted = isWarmedUp,
                           .mIdealAdmits = mIdeal.Take(1, mNow),
                           .mArrivedAt = mNow,
                           .mZone = zone };
    mFigures.mRequests += isWarmedUp;
    mFigures.mIdealRefused += isWarmedUp && !request.mIdealAdmits;
    if (mSetup.mPolicy == Policy::Static) {
      Finish(request, mStatic[instance].Take(1, mNow));
    } else {
      Handle(instance, request, mClients[instance].Admit(mNow));
    }
  }

  void Finish(const Request& aRequest, bool aAdmitted)
  {
    if (!aRequest.mCounted) {
      return;
    }
    mFigures.mRefused += !aAdmitted;
    mFigures.mWrongfulRefusals += !aAdmitted && aRequest.mIdealAdmits;
    mFigures.mWaitMs += 1000 * ToSeconds(mNow - aRequest.mArrivedAt);
    if (mIsCutOff && aAdmitted) {
      ++(aRequest.mZone == 0 ? mCutOffServed : mOtherServed);
    }
  }

  void Handle(size_t aInstance,
              const Request& aRequest,
              const AccountClient::Decision& aDecision)
  {
    switch (aDecision.mVerdict) {
      case AccountClient::Verdict::Granted:
        return Finish(aRequest, true);
      case AccountClient::Verdict::Refused:
        return Finish(aRequest, false);
      case AccountClient::Verdict::Ignored:
        return;
      case AccountClient::Verdict::Ask:
        break;
    }
    mWaiting[aInstance][aDecision.mRequest.mId] = aRequest;
    SendRequest(aInstance, IndexOf(aDecision.mTo), aDecision.mRequest);
  }

  void SendRequest(size_t aFrom, size_t aZone, const AdmitRequest& aRequest)
  {
    const auto admit = [=, this] {
      ApplyActions(aZone, aFrom, mHolders[aZone]->Admit(aRequest, mNow, true));
    };
    if (aFrom == aZone * 3) {
      admit();
    } else {
      Send(ZoneOf(aFrom), aZone, admit);
    }
  }

  void ApplyActions(size_t aZone,
                    size_t aFrom,
                    const AccountHolder::Actions& aActions)
  {
    for (const auto& it : aActions.mReplies) {
      const AdmitReply reply = it.mReply;
      if (it.mToOwner) {
        Send(aZone, ZoneOf(aFrom), [=, this] {
          ApplyActions(ZoneOf(aFrom),
                       aFrom,
                       mHolders[ZoneOf(aFrom)]->OnReply(reply, mNow, true));
        });
        continue;
      }
      const size_t to = size_t(std::find(mNames.begin(), mNames.end(), it.mTo) -
                               mNames.begin());
      const auto receive = [=, this] {
        const auto waiting = mWaiting[to].find(reply.mId);
        const auto decision = mClients[to].OnReply(reply, mNow);
        if (waiting != mWaiting[to].end()) {
          const Request request = waiting->second;
          mWaiting[to].erase(waiting);
          Handle(to, request, decision);
        }
      };
      if (to == aZone * 3) {
        receive();
      } else {
        Send(aZone, ZoneOf(to), receive);
      }
    }
    if (const auto at = mHolders[aZone]->NextTimer(mNow)) {
      At(*at - mNow, [=, this] {
        ApplyActions(aZone, aZone * 3, mHolders[aZone]->OnTimer(mNow, true));
      });
    }
    for (const auto& it : aActions.mRequests) {
      SendRequest(aZone * 3, IndexOf(it.mTo), it.mRequest);
    }
  }

  void Tick(size_t aZone)
  {
    At(milliseconds(100), [this, aZone] { Tick(aZone); });
    AccountHolder& holder = *mHolders[aZone];
    ApplyActions(aZone, aZone * 3, holder.OnTimer(mNow, true));
    for (size_t n = aZone * 3; n < kInstances && ZoneOf(n) == aZone; ++n) {
      for (const uint64_t it : mClients[n].OnTimer(mNow)) {
        Finish(mWaiting[n][it], false);
        mWaiting[n].erase(it);
      }
    }
    if (mIsCutOff && aZone == 0) {
      return;
    }
    if (const auto serial = holder.NeededRead()) {
      holder.OnStoreRead(*serial, mAllotment, mNow);
    }
    if (const auto write = holder.NextWrite(mNow, true)) {
      const bool ok =
        (mAllotment ? mAllotment->Version() : 0) == write->mBaseVersion;
      if (ok) {
        mFigures.mMoves +=
          mAllotment && mAllotment->Fractions() != write->mValue.Fractions();
        mAllotment = write->mValue;
      }
      holder.OnWriteResult(write->mSerial,
                           ok ? MoveOutcome::Committed : MoveOutcome::Conflict,
                           mNow);
    }
    if (mAllotment) {
      holder.OnCommitted(*mAllotment, mNow);
    }
  }

  /// Sends demand and tokens in a heartbeat. Heartbeats are sent in any case,
  /// so they don't count as messages.
  void Heartbeat(size_t aZone)
  {
    At(milliseconds(500), [this, aZone] { Heartbeat(aZone); });
    const double demand = mHolders[aZone]->Demand(mNow);
    const double tokens = mHolders[aZone]->Tokens(mNow);
    for (size_t n = 0; n < kZones; ++n) {
      if (n != aZone && !IsCutOff(aZone, n)) {
        At(Latency(aZone, n), [=, this] {
          mHolders[n]->OnZoneReport(mZones[aZone], demand, tokens, mNow);
        });
      }
    }
  }

  Setup mSetup;
  Random mRandom;
  TokenBucket mIdeal;
  TimePoint mNow{};
  uint64_t mSerial = 0;
  std::priority_queue<Event> mEvents;
  std::vector<ZoneName> mZones;
  std::vector<InstanceName> mNames;
  std::vector<AccountClient> mClients;
  std::vector<TokenBucket> mStatic;
  std::vector<std::unique_ptr<AccountHolder>> mHolders;
  std::vector<std::map<uint64_t, Request>> mWaiting;
  std::optional<Allotment> mAllotment;
  Figures mFigures;
  uint64_t mMessagesBefore = 0;
  bool mIsCutOff = false;
  TimePoint mCutOffAt{};
  uint64_t mCutOffServed = 0;
  uint64_t mOtherServed = 0;
};

void Print(const Setup& aSetup)
{
  const Figures it = Model(aSetup).Run();
  std::printf("| %g/s, %g | %s | %.3f | %.3f | %.3f | %.2f | %.2f | %llu |\n",
              aSetup.mRate,
              aSetup.mBurst,
              aSetup.mName.c_str(),
              100 * it.Fraction(it.mWrongfulRefusals),
              100 * it.Fraction(it.mRefused),
              100 * it.Fraction(it.mIdealRefused),
              it.Fraction(it.mMessages),
              it.mWaitMs,
              static_cast<unsigned long long>(it.mMoves));
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  struct Size
  {
    double mRate;
    double mBurst;
  };
  const Size sizes[] = { { 5, 5 }, { 50, 20 }, { 400, 100 } };
  std::printf("seed %llu, %llu requests in each run\n\n",
              static_cast<unsigned long long>(FLAGS_seed),
              static_cast<unsigned long long>(FLAGS_requests));
  std::printf("| rate, burst | callers and policy | wrongful %% | refused %% | "
              "ideal refused %% | messages/request | wait ms | moves |\n"
              "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& it : sizes) {
    Setup base{ .mName = "even, any instance",
                .mRate = it.mRate,
                .mBurst = it.mBurst };
    Print(base);
    Setup oneZone = base;
    oneZone.mName = "one zone, any instance";
    oneZone.mFirstZoneFraction = 1;
    Print(oneZone);
    Setup steered = base;
    steered.mName = "even, owner in own zone";
    steered.mCallers = Callers::ZoneOwner;
    Print(steered);
    Setup oneSteered = steered;
    oneSteered.mName = "one zone, owner in own zone";
    oneSteered.mFirstZoneFraction = 1;
    Print(oneSteered);
    Setup maxShare = base;
    maxShare.mName = "even, owner in zone with most share";
    maxShare.mCallers = Callers::MaxShareOwner;
    Print(maxShare);
    Setup split = base;
    split.mName = "baseline: static split by instance, even";
    split.mPolicy = Policy::Static;
    Print(split);
    split.mName = "baseline: static split by instance, one zone";
    split.mFirstZoneFraction = 1;
    Print(split);
    if (FLAGS_no_movement) {
      Setup noMovement = steered;
      noMovement.mName = "baseline: no share movement, even, owner in own zone";
      noMovement.mPolicy = Policy::Exchange;
      Print(noMovement);
      noMovement.mName =
        "baseline: no share movement, one zone, owner in own zone";
      noMovement.mFirstZoneFraction = 1;
      Print(noMovement);
    }
    if (FLAGS_options) {
      for (const uint32_t reserve : { 0u, 20'000u, 50'000u }) {
        for (const bool divided : { false, true }) {
          Setup option = steered;
          auto& balancer = option.mHolder.mBalancer;
          balancer.mReserve = balancer.mSingleZoneReserve = reserve;
          balancer.mMinRate = balancer.mMinBurstPerZone = divided ? 0 : 1e9;
          const std::string name =
            std::string("option: ") + (divided ? "divided" : "one zone") +
            ", reserve " + std::to_string(reserve / 10000) + " %, ";
          option.mName = name + "even, owner in own zone";
          Print(option);
          option.mFirstZoneFraction = 1;
          option.mName = name + "one zone, owner in own zone";
          Print(option);
        }
      }
    }
  }
  std::printf(
    "\nFirst zone cut off, load 1.5 times the rate: served, as fractions "
    "of the shares by recent demand\n\n"
    "| rate, burst | demand of the zone before | in the zone | outside "
    "|\n| --- | --- | --- | --- |\n");
  for (const auto& it : sizes) {
    for (const double fraction : { 1.0 / kZones, 0.5 }) {
      Setup cutOff{ .mName = "",
                    .mRate = it.mRate,
                    .mBurst = it.mBurst,
                    .mCallers = Callers::ZoneOwner,
                    .mFirstZoneFraction = fraction,
                    .mCutOffLoadFactor = 1.5 };
      const Figures result = Model(cutOff).Run();
      std::printf("| %g/s, %g | %.0f %% | %.3f | %.3f |\n",
                  it.mRate,
                  it.mBurst,
                  100 * fraction,
                  result.mCutOffServed,
                  result.mOtherServed);
    }
  }
  return 0;
}
