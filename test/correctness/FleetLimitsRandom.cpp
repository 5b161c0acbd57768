#include "AccountClient.h"
#include "AccountHolder.h"
#include "Random.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

using namespace pollenway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kZones = 3;
constexpr size_t kNodesPerZone = 3;
constexpr size_t kNodes = kZones * kNodesPerZone;

struct Total
{
  double mRate = 0;
  double mBurst = 0;
};

/// The token bucket that bounds all admissions of the fleet. During a change of
/// the total it uses the largest of the totals in use.
class IdealBucket
{
public:
  void SetLimits(Total aTotal, TimePoint aNow)
  {
    Refill(aNow);
    mTotal = aTotal;
    mTokens = std::min(mTokens, mTotal.mBurst);
  }

  bool Admit(TimePoint aNow)
  {
    Refill(aNow);
    mTokens -= 1;
    return mTokens > -1e-6;
  }

private:
  void Refill(TimePoint aNow)
  {
    mTokens = std::min(mTotal.mBurst,
                       mTokens + mTotal.mRate * ToSeconds(aNow - mUpdatedAt));
    mUpdatedAt = aNow;
  }

  Total mTotal;
  double mTokens = 1e9;
  TimePoint mUpdatedAt{};
};

struct Node
{
  size_t mIndex = 0;
  size_t mZone = 0;
  InstanceName mName;
  /// Each process has a different origin of its monotonic clock.
  Duration mClockOffset{};
  bool mAlive = true;
  /// Evicted while paused; gets no lease when it resumes.
  bool mEvicted = false;
  TimePoint mPausedUntil{};
  TimePoint mLeaseUntil{};
  TimePoint mLastGrant{};
  std::unique_ptr<AccountClient> mClient;
  std::unique_ptr<AccountHolder> mHolder;
  /// The latest view of its zone that the node has read.
  uint64_t mView = 0;
  std::vector<size_t> mOwners;
  uint64_t mGeneration = 0;
  bool mStoreBusy = false;
};

class Fleet
{
public:
  /// Half of the seeds keep the total constant, which makes the bound exact.
  /// Half inject faults at a low rate, so that the buckets fill up.
  explicit Fleet(uint64_t aSeed)
    : mRandom(aSeed)
    , mChangesTotal(aSeed % 4 >= 2)
    , mMeanFaultInterval(aSeed % 2 ? 0.7 : 3)
  {
    for (size_t n = 0; n < kZones; ++n) {
      mZones.emplace_back("zone-" + std::to_string(n));
    }
    for (size_t n = 0; n < kNodes; ++n) {
      auto& node = mNodes.emplace_back();
      node.mIndex = n;
      node.mZone = n / kNodesPerZone;
      node.mOwners = { 0, kNodesPerZone, 2 * kNodesPerZone };
      Restart(node);
      At(milliseconds(n), [this, &node] { Tick(node); });
    }
    for (size_t n = 0; n < kZones; ++n) {
      mOwners.push_back(n * kNodesPerZone);
      mViews.push_back(0);
    }
    At(milliseconds(5), [this] { Arrive(); });
    At(milliseconds(500), [this] { InjectFault(); });
    At(seconds(4), [this] { ReplaceSilent(); });
    At(seconds(2), [this] { ToggleLoad(); });
  }

  void Run(uint64_t aSteps)
  {
    for (uint64_t n = 0; n < aSteps && !mFailed; ++n) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mRun();
      CheckShares();
    }
  }

  bool mFailed = false;
  uint64_t mAdmitted = 0;
  uint64_t mMoves = 0;
  uint64_t mHandovers = 0;
  uint64_t mEvictions = 0;

private:
  struct Event
  {
    TimePoint mAt;
    uint64_t mSerial = 0;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mSerial > aOther.mSerial;
    }
  };

  void At(Duration aDelay, std::function<void()> aRun)
  {
    mEvents.push({ mNow + aDelay, ++mSerial, std::move(aRun) });
  }

  TimePoint Local(const Node& aNode) const { return mNow + aNode.mClockOffset; }

  bool LeaseValid(const Node& aNode) const { return mNow < aNode.mLeaseUntil; }

  void Restart(Node& aNode)
  {
    aNode.mAlive = true;
    aNode.mEvicted = false;
    aNode.mPausedUntil = mNow;
    aNode.mName = InstanceName("node-" + std::to_string(aNode.mIndex) + "." +
                               std::to_string(++mSerial));
    aNode.mClockOffset = milliseconds(mRandom.Below(100'000'000));
    aNode.mLeaseUntil = aNode.mLastGrant = mNow;
    aNode.mStoreBusy = false;
    aNode.mView = 0;
    aNode.mClient = std::make_unique<AccountClient>(
      aNode.mName, mZones[aNode.mZone], AccountClient::Options{});
    MakeHolder(aNode);
  }

  void MakeHolder(Node& aNode)
  {
    std::vector<AccountHolder::Peer> peers;
    for (size_t n = 0; n < kZones; ++n) {
      if (n != aNode.mZone) {
        peers.push_back({ mZones[n], milliseconds(5) });
      }
    }
    AccountHolder::Options options;
    options.mDemandTimeConstant = seconds(3);
    aNode.mHolder = std::make_unique<AccountHolder>(
      aNode.mName, mZones[aNode.mZone], peers, options);
    SetTotal(aNode);
  }

  /// Runs `aRun` at the node, delayed until the end of a pause. Does nothing if
  /// the process has ended.
  void Deliver(size_t aTo,
               const InstanceName& aProcess,
               std::function<void(Node&)> aRun)
  {
    Node& node = mNodes[aTo];
    if (!node.mAlive || node.mName != aProcess) {
      return;
    }
    if (mNow < node.mPausedUntil) {
      At(node.mPausedUntil - mNow, [=, this] { Deliver(aTo, aProcess, aRun); });
      return;
    }
    aRun(node);
  }

  /// Sends a message that may be lost, delayed, duplicated or reordered, and
  /// that is lost if its zone is cut off.
  void Send(const Node& aFrom, size_t aTo, std::function<void(Node&)> aRun)
  {
    const InstanceName process = mNodes[aTo].mName;
    const bool cut = mCutZone < kZones && aFrom.mZone != mNodes[aTo].mZone &&
                     (aFrom.mZone == mCutZone || mNodes[aTo].mZone == mCutZone);
    if (cut || mRandom.Chance(0.02)) {
      return;
    }
    const int copies = mRandom.Chance(0.03) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const double mean = mRandom.Chance(0.02) ? 0.2 : 0.004;
      At(FromSeconds(mRandom.Exponential(mean)),
         [=, this] { Deliver(aTo, process, aRun); });
    }
  }

  void Admitted()
  {
    ++mAdmitted;
    UpdateBound();
    if (!mIdeal.Admit(mNow)) {
      mFailed = true;
      FAIL_CHECK("an admission exceeds rate and burst at ",
                 ToSeconds(mNow.time_since_epoch()));
    }
  }

  void Handle(const AccountClient::Decision& aDecision, Node& aNode)
  {
    if (aDecision.mVerdict == AccountClient::Verdict::Granted) {
      Admitted();
    } else if (aDecision.mVerdict == AccountClient::Verdict::Ask) {
      size_t zone = 0;
      while (mZones[zone] != aDecision.mTo) {
        ++zone;
      }
      Ask(aNode, zone, aDecision.mRequest);
    }
  }

  void Ask(Node& aNode, size_t aZone, const AdmitRequest& aRequest)
  {
    const size_t from = aNode.mIndex;
    const auto admit = [=, this](Node& aOwner) {
      if (aOwner.mHolder) {
        ExecuteActions(
          aOwner,
          from,
          aOwner.mHolder->Admit(aRequest, Local(aOwner), LeaseValid(aOwner)));
      }
    };
    if (aNode.mOwners[aZone] == from) {
      admit(aNode);
    } else {
      Send(aNode, aNode.mOwners[aZone], admit);
    }
  }

  void ExecuteActions(Node& aOwner,
                      size_t aFrom,
                      const AccountHolder::Actions& aActions)
  {
    for (const auto& it : aActions.mReplies) {
      const AdmitReply reply = it.mReply;
      if (it.mToOwner) {
        Send(aOwner, aFrom, [=, this](Node& aNode) {
          if (aNode.mHolder) {
            ExecuteActions(
              aNode,
              aNode.mIndex,
              aNode.mHolder->OnReply(reply, Local(aNode), LeaseValid(aNode)));
          }
        });
        continue;
      }
      const auto receive = [=, this](Node& aNode) {
        Handle(aNode.mClient->OnReply(reply, Local(aNode)), aNode);
      };
      for (auto& node : mNodes) {
        if (node.mName == it.mTo && &node == &aOwner) {
          receive(node);
        } else if (node.mName == it.mTo) {
          Send(aOwner, node.mIndex, receive);
        }
      }
    }
    for (const auto& it : aActions.mRequests) {
      for (size_t n = 0; n < kZones; ++n) {
        if (mZones[n] == it.mTo) {
          Ask(aOwner, n, it.mRequest);
        }
      }
    }
  }

  /// Alternates between low load, during which the buckets fill, and bursts
  /// that empty them.
  void ToggleLoad()
  {
    mBusy = !mBusy;
    At(FromSeconds(mRandom.Exponential(mBusy ? 0.4 : 0.6)),
       [this] { ToggleLoad(); });
  }

  void Arrive()
  {
    Node& node = mNodes[mRandom.Chance(0.6) ? mHotZone * kNodesPerZone +
                                                mRandom.Below(kNodesPerZone)
                                            : mRandom.Below(kNodes)];
    Deliver(node.mIndex, node.mName, [this](Node& aNode) {
      Handle(aNode.mClient->Admit(Local(aNode)), aNode);
    });
    const double rate = mTotals.back().mRate * (mBusy ? 5 : 0.05);
    At(FromSeconds(mRandom.Exponential(1 / rate)), [this] { Arrive(); });
  }

  void Tick(Node& aNode)
  {
    At(milliseconds(50), [this, &aNode] { Tick(aNode); });
    if (!aNode.mAlive || mNow < aNode.mPausedUntil) {
      return;
    }
    if (aNode.mEvicted && mRandom.Chance(0.02)) {
      Restart(aNode);
    }
    if (!aNode.mEvicted && mNow - aNode.mLastGrant >= milliseconds(500)) {
      aNode.mLastGrant = mNow;
      aNode.mLeaseUntil = mNow + seconds(4);
    }
    if (aNode.mGeneration + 1 < mTotals.size() && mRandom.Chance(0.05)) {
      ++aNode.mGeneration;
      SetTotal(aNode);
    }
    if (mRandom.Chance(0.3)) {
      aNode.mOwners = mOwners;
    }
    (void)aNode.mClient->OnTimer(Local(aNode));
    AccountHolder& holder = *aNode.mHolder;
    ExecuteActions(
      aNode, aNode.mIndex, holder.OnTimer(Local(aNode), LeaseValid(aNode)));
    if (mRandom.Chance(0.1)) {
      const double demand = holder.Demand(Local(aNode));
      for (const size_t it : mOwners) {
        Send(aNode, it, [=, this, zone = mZones[aNode.mZone]](Node& aTo) {
          aTo.mHolder->OnZoneReport(zone, demand, 0, Local(aTo));
        });
      }
    }
    if (mRandom.Chance(0.1)) {
      AdoptView(aNode);
    }
    if (mRandom.Chance(0.2)) {
      RequestHandover(aNode);
    }
    UseStore(aNode, holder);
  }

  void AdoptView(Node& aNode)
  {
    if (aNode.mEvicted || aNode.mView == mViews[aNode.mZone]) {
      return;
    }
    aNode.mView = mViews[aNode.mZone];
    if (mOwners[aNode.mZone] == aNode.mIndex) {
      std::vector<InstanceName> others;
      for (const auto& it : mNodes) {
        if (it.mZone == aNode.mZone && &it != &aNode && !it.mEvicted) {
          others.push_back(it.mName);
        }
      }
      aNode.mHolder->BeginTakeover(aNode.mView, others, Local(aNode));
    }
  }

  void RequestHandover(Node& aNode)
  {
    const size_t to = aNode.mIndex;
    const uint64_t view = aNode.mView;
    for (const auto& name : aNode.mHolder->Unanswered()) {
      for (const auto& it : mNodes) {
        if (it.mName != name) {
          continue;
        }
        Send(aNode, it.mIndex, [=, this](Node& aOld) {
          AccountHolder::Actions actions;
          const auto answer =
            aOld.mHolder->HandOver(view, Local(aOld), actions);
          ExecuteActions(aOld, aOld.mIndex, actions);
          if (answer) {
            Send(aOld, to, [=, this](Node& aNew) {
              const bool before = aNew.mHolder->IsActive();
              aNew.mHolder->OnHandoverAnswer(name, *answer, Local(aNew));
              mHandovers +=
                answer->mState && !before && aNew.mHolder->IsActive();
            });
          }
        });
      }
    }
  }

  /// Simulates a store that receives no requests during an outage, loses
  /// answers, and performs some writes long after the writer has timed out.
  void UseStore(Node& aNode, AccountHolder& aHolder)
  {
    if (aNode.mStoreBusy || mOutage) {
      return;
    }
    const size_t to = aNode.mIndex;
    const InstanceName process = aNode.mName;
    const auto answer = [=, this](auto aRun) {
      At(FromSeconds(mRandom.Exponential(0.01)), [=, this] {
        Deliver(to, process, [=](Node& aTo) {
          aTo.mStoreBusy = false;
          aRun(*aTo.mHolder);
        });
      });
    };
    if (const auto serial = aHolder.NeededRead()) {
      aNode.mStoreBusy = true;
      At(milliseconds(2), [=, this, serial = *serial] {
        answer([=, this, read = mObject](AccountHolder& aTo) {
          aTo.OnStoreRead(serial, read, Local(mNodes[to]));
        });
      });
      return;
    }
    const auto write = aHolder.NextWrite(Local(aNode), LeaseValid(aNode));
    if (!write) {
      if (mObject && mRandom.Chance(0.05)) {
        aHolder.OnCommitted(*mObject, Local(aNode));
      }
      return;
    }
    aNode.mStoreBusy = true;
    const bool lost = mRandom.Chance(0.2);
    const Duration delay =
      lost ? FromSeconds(mRandom.Exponential(8)) : milliseconds(2);
    At(delay, [=, this] {
      const uint64_t version = mObject ? mObject->Version() : 0;
      const bool ok = version == write->mBaseVersion;
      if (ok) {
        mMoves += mObject && mObject->Fractions() != write->mValue.Fractions();
        mObject = write->mValue;
      }
      if (!lost) {
        answer([=, this](AccountHolder& aTo) {
          aTo.OnWriteResult(write->mSerial,
                            ok ? MoveOutcome::Committed : MoveOutcome::Conflict,
                            Local(mNodes[to]));
        });
      }
    });
    if (lost) {
      At(milliseconds(300), [=, this] {
        answer([=, this](AccountHolder& aTo) {
          aTo.OnWriteResult(
            write->mSerial, MoveOutcome::Unknown, Local(mNodes[to]));
        });
      });
    }
  }

  void InjectFault()
  {
    At(FromSeconds(mRandom.Exponential(mMeanFaultInterval)),
       [this] { InjectFault(); });
    Node& node = mNodes[mRandom.Below(kNodes)];
    const size_t zone = mRandom.Below(kZones);
    switch (mRandom.Below(10)) {
      case 0:
        node.mPausedUntil = std::max(
          node.mPausedUntil, mNow + FromSeconds(mRandom.Exponential(3)));
        break;
      case 1:
        node.mAlive = false;
        break;
      case 2:
        mCutZone = zone;
        At(FromSeconds(mRandom.Exponential(4)), [this] { mCutZone = kZones; });
        break;
      case 3:
        mOutage = true;
        At(FromSeconds(mRandom.Exponential(3)), [this] { mOutage = false; });
        break;
      case 4:
        mHotZone = zone;
        break;
      case 5: {
        if (!mChangesTotal) {
          break;
        }
        const Total totals[] = {
          { 200, 40 }, { 400, 90 }, { 60, 20 }, { 20, 5 }, { 100, 12 }
        };
        mTotals.push_back(totals[mRandom.Below(std::size(totals))]);
        break;
      }
      default:
        ChangeView(zone);
    }
  }

  void ReplaceSilent()
  {
    At(seconds(1), [this] { ReplaceSilent(); });
    for (const auto& it : mNodes) {
      if (!it.mEvicted && mNow - it.mLastGrant > seconds(7)) {
        ChangeView(it.mZone);
        return;
      }
    }
  }

  /// Creates a new view with a randomly chosen owner. Members that have been
  /// silent for more than 6 s are evicted, or restarted if they have ended. A
  /// live member may leave.
  void ChangeView(size_t aZone)
  {
    const size_t first = aZone * kNodesPerZone;
    for (size_t n = first; n < first + kNodesPerZone; ++n) {
      Node& node = mNodes[n];
      const bool silent = mNow - node.mLastGrant > seconds(6);
      const bool leaves = node.mAlive && mRandom.Chance(0.1);
      if (node.mAlive && silent && !node.mEvicted) {
        node.mEvicted = true;
        ++mEvictions;
      } else if (leaves || (!node.mAlive && silent)) {
        Restart(node);
        ++mEvictions;
      }
    }
    mOwners[aZone] = first + mRandom.Below(kNodesPerZone);
    ++mViews[aZone];
  }

  void SetTotal(Node& aNode)
  {
    {
      const Total& total = mTotals[aNode.mGeneration];
      aNode.mHolder->SetTotal(
        aNode.mGeneration + 1, total.mRate, total.mBurst, Local(aNode));
    }
  }

  /// Sets the bound to the largest total in use: from the oldest generation
  /// that a member has, as it may take over an account with it, to the newest.
  /// Totals that were in this range within the hold time of a grant are
  /// included.
  void UpdateBound()
  {
    uint64_t oldest = mTotals.size() - 1;
    for (const auto& it : mNodes) {
      if (it.mAlive && !it.mEvicted) {
        oldest = std::min(oldest, it.mGeneration);
      }
    }
    for (uint64_t n = oldest; n < mTotals.size(); ++n) {
      mInUse[n] = mNow;
    }
    std::erase_if(mInUse, [&](const auto& aUse) {
      return mNow - aUse.second > HoldTime(kMaxGrantValidity);
    });
    Total bound;
    for (const auto& [generation, last] : mInUse) {
      bound.mRate = std::max(bound.mRate, mTotals[generation].mRate);
      bound.mBurst = std::max(bound.mBurst, mTotals[generation].mBurst);
    }
    mIdeal.SetLimits(bound, mNow);
  }

  void CheckShares()
  {
    UpdateBound();
    uint64_t sum = 0;
    for (const auto& it : mNodes) {
      if (it.mAlive && it.mHolder->IsActive() && LeaseValid(it)) {
        sum += it.mHolder->Balancer().UsableFraction();
      }
    }
    if (sum > Allotment::kWhole) {
      mFailed = true;
      FAIL_CHECK("the sum of the fractions in use is ", sum);
    }
  }

  Random mRandom;
  bool mChangesTotal;
  double mMeanFaultInterval;
  TimePoint mNow{ seconds(1) };
  uint64_t mSerial = 0;
  std::priority_queue<Event> mEvents;
  std::vector<ZoneName> mZones;
  std::deque<Node> mNodes;
  std::vector<size_t> mOwners;
  std::vector<uint64_t> mViews;
  size_t mCutZone = kZones;
  size_t mHotZone = 0;
  bool mBusy = true;
  bool mOutage = false;
  std::vector<Total> mTotals{ { 200, 40 } };
  std::map<uint64_t, TimePoint> mInUse;
  std::optional<Allotment> mObject;
  IdealBucket mIdeal;
};

} // namespace

// Guards invariant I4 against lost, late, duplicate and reordered messages,
// zones that are cut off, paused and crashed owners, view changes, store
// failures and changes of the total. The ideal bucket checks all windows at
// once: a window with more than burst + rate * T admissions would take it below
// zero.
TEST_CASE("admissions of a fleet with faults fit one ideal bucket")
{
  const char* text = std::getenv("POLLENWAY_STEPS");
  const uint64_t steps = text ? std::strtoull(text, nullptr, 10) : 150'000;
  uint64_t moves = 0;
  uint64_t handovers = 0;
  uint64_t evictions = 0;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed);
    fleet.Run(steps);
    moves += fleet.mMoves;
    handovers += fleet.mHandovers;
    evictions += fleet.mEvictions;
    MESSAGE("seed " << seed << " steps " << steps << " admitted "
                    << fleet.mAdmitted << " moves " << fleet.mMoves
                    << " handovers " << fleet.mHandovers << " evictions "
                    << fleet.mEvictions);
    CHECK(!fleet.mFailed);
    CHECK(fleet.mAdmitted > steps / 100);
  }
  // Without these events the test would check nothing.
  CHECK(moves > 8);
  CHECK(handovers > 8);
  CHECK(evictions > 8);
}
