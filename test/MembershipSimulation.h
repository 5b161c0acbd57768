#pragma once

#include "HashOf.h"
#include "Inventory.h"
#include "KeyTable.h"
#include "MembershipTable.h"
#include "Random.h"
#include "RendezvousHash.h"
#include "Sha256.h"

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace pollenway {

/// Returns the number of steps of 50 ms from the environment variable
/// POLLENWAY_STEPS.
inline uint64_t StepsFromEnvironment(uint64_t aDefault)
{
  const char* text = std::getenv("POLLENWAY_STEPS");
  return text ? std::strtoull(text, nullptr, 10) : aDefault;
}

/// A randomised simulation of instances with simulated links, store and clock.
/// Encodes and decodes every message. Collects violated invariants in
/// `mViolations`.
class MembershipSimulation
{
public:
  struct Options
  {
    uint64_t mSeed = 1;
    unsigned mZones = 1;
    unsigned mPerZone = 3;
    double mDropProbability = 0.02;
    /// Probability in each step that a fault starts.
    double mFaultProbability = 0.02;
    // Rules that a test may break on purpose.
    Duration mConfirmDelay = kConfirmDelay;
    bool mChecksLease = true;
    bool mWaitsUntilSettled = true;
  };

  struct Counts
  {
    uint64_t mMessages = 0;
    uint64_t mViews = 0;
    uint64_t mEnded = 0;
    uint64_t mUses = 0;
    uint64_t mFaults = 0;
    uint64_t mLostWrites = 0;
  };

  explicit MembershipSimulation(Options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    for (unsigned i = 0; i < kKeys; ++i) {
      mInventory.mKeys.push_back({ KeyId("key-" + std::to_string(i)),
                                   WorkspaceName("w"),
                                   Sha256Hex("secret-" + std::to_string(i)),
                                   false });
    }
    mKeyTable = KeyTable(mInventory);
    for (unsigned zone = 0; zone < mOptions.mZones; ++zone) {
      for (unsigned i = 0; i < mOptions.mPerZone; ++i) {
        AddNode(zone);
      }
    }
  }

  void Run(uint64_t aSteps)
  {
    for (uint64_t i = 0; i < aSteps && mViolations.empty(); ++i) {
      Step(true);
    }
  }

  /// Ends all faults, waits and then expects every instance to be a member of
  /// its zone's view and every resource to be in use.
  void ExpectRecovery()
  {
    if (!mViolations.empty()) {
      return;
    }
    mStoreDownUntil = mNow;
    mCutLinks.clear();
    for (auto& it : mNodes) {
      it->mPausedUntil = mNow;
      if (!it->mTable && !it->mIsTerminated) {
        it->mRestartAt = mNow;
      }
    }
    for (unsigned i = 0; i < 1200; ++i) {
      Step(false);
    }
    for (const auto& node : mNodes) {
      if (!node->mIsTerminated &&
          !node->mTable->Zone().MayActAsOwner(LocalTime(*node))) {
        RecordViolation(node->mName.Text() + " is not a member after recovery");
      }
    }
    for (unsigned zone = 0; zone < mOptions.mZones; ++zone) {
      for (unsigned i = 0; i < kResources; ++i) {
        if (UsersOf(zone, i).size() != 1) {
          RecordViolation("a resource has no user after recovery");
        }
      }
    }
  }

  void RunWithoutFaults(uint64_t aSteps)
  {
    for (uint64_t i = 0; i < aSteps; ++i) {
      Step(false);
    }
  }

  /// Stops an instance that neither returns nor is listed as terminated, and
  /// steps until the other members' views do not list it. Returns the elapsed
  /// time, at most 60 s.
  Duration EvictionTimeOf(size_t aIndex)
  {
    auto& node = *mNodes[aIndex];
    Stop(node, std::chrono::hours(24));
    const auto start = mNow;
    const auto isRemoved = [&](const auto& aOther) {
      return !aOther->mTable || !aOther->mTable->Zone().View().Find(node.mName);
    };
    while (mNow < start + std::chrono::seconds(60) &&
           !std::all_of(mNodes.begin(), mNodes.end(), isRemoved)) {
      Step(false);
    }
    return mNow - start;
  }

  std::vector<std::string> mViolations;
  Counts mCounts;

private:
  static constexpr unsigned kKeys = 24;
  static constexpr unsigned kResources = 8;
  static constexpr Duration kStep = std::chrono::milliseconds(50);
  static constexpr Duration kStoreTimeout = std::chrono::seconds(1);

  struct Node
  {
    InstanceName mName;
    unsigned mZone = 0;
    double mClockRate = 1;
    TimePoint mPausedUntil;
    bool mWasPaused = false;
    TimePoint mRestartAt;
    bool mIsTerminated = false;
    bool mIsLeaving = false;
    uint64_t mEpoch = 0;
    std::unique_ptr<ConfigurationTracker> mConfiguration;
    std::unique_ptr<WithdrawalSet> mWithdrawals;
    std::unique_ptr<CutOffKeyPolicy> mCutOff;
    std::unique_ptr<MembershipTable> mTable;
    std::set<unsigned> mHeldResources;
    uint64_t mLastViewNumber = 0;
    uint64_t mLastGeneration = 0;
    std::vector<std::function<void()>> mInbox;
    std::map<unsigned, TimePoint> mLacksWithdrawalSince;
    TimePoint mOldConfigurationSince;
    bool mHasOldConfiguration = false;
  };

  struct Event
  {
    TimePoint mAt;
    uint64_t mOrder;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  struct StoredObject
  {
    std::string mText;
    uint64_t mVersion = 0;
    std::string mPreviousText;
    uint64_t mPreviousVersion = 0;
  };

  using DirectedLink = std::pair<InstanceName, InstanceName>;

  static ZoneName NameOfZone(unsigned aZone)
  {
    return ZoneName("z" + std::to_string(aZone));
  }

  TimePoint LocalTime(const Node& aNode) const
  {
    return TimePoint(Duration(
      int64_t(double(mNow.time_since_epoch().count()) * aNode.mClockRate)));
  }

  void RecordViolation(const std::string& aText)
  {
    mViolations.push_back(std::to_string(ToSeconds(mNow.time_since_epoch())) +
                          " s: " + aText);
  }

  void Schedule(Duration aDelay, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aDelay, ++mOrder, std::move(aAction) });
  }

  Duration RandomDelay()
  {
    if (mRandom.Chance(0.01)) {
      return FromSeconds(mRandom.Uniform() * 3);
    }
    return FromSeconds(0.0005 + mRandom.Uniform() * 0.06);
  }

  void AddNode(unsigned aZone)
  {
    auto node = std::make_unique<Node>();
    node->mName = InstanceName("z" + std::to_string(aZone) + "-" +
                               std::to_string(mNodes.size()));
    node->mZone = aZone;
    node->mClockRate = 0.9 + 0.2 * mRandom.Uniform();
    mNodes.push_back(std::move(node));
    Start(*mNodes.back());
  }

  void Start(Node& aNode)
  {
    ++aNode.mEpoch;
    aNode.mIsLeaving = false;
    aNode.mLastViewNumber = aNode.mLastGeneration = 0;
    aNode.mHeldResources.clear();
    aNode.mInbox.clear();
    aNode.mLacksWithdrawalSince.clear();
    aNode.mHasOldConfiguration = false;
    aNode.mConfiguration = std::make_unique<ConfigurationTracker>();
    aNode.mWithdrawals = std::make_unique<WithdrawalSet>();
    aNode.mWithdrawals->OnConfiguration(1, mKeyTable.Ids());
    aNode.mCutOff = std::make_unique<CutOffKeyPolicy>();
    MembershipTable::Options options;
    options.mZone.mZone = NameOfZone(aNode.mZone);
    options.mZone.mSelf = { aNode.mName, ++mIncarnation, "10.0.0.1", 1, 2, 0 };
    options.mZone.mSeed = mRandom.Next();
    options.mZone.mConfirmDelay = mOptions.mConfirmDelay;
    aNode.mTable = std::make_unique<MembershipTable>(
      options,
      MembershipTable::ProcessState{
        *aNode.mConfiguration, *aNode.mWithdrawals, *aNode.mCutOff },
      LocalTime(aNode));
    ReadStoreAtStart(aNode, aNode.mEpoch);
  }

  /// Reads all views and the withdrawals from the store, as `MembershipService`
  /// does when a process starts.
  void ReadStoreAtStart(Node& aNode, uint64_t aEpoch)
  {
    Schedule(RandomDelay(), [this, &aNode, aEpoch] {
      if (aNode.mEpoch != aEpoch || !aNode.mTable) {
        return;
      }
      if (mNow < mStoreDownUntil) {
        Schedule(std::chrono::seconds(1),
                 [this, &aNode, aEpoch] { ReadStoreAtStart(aNode, aEpoch); });
        return;
      }
      for (const auto& [name, object] : mStore) {
        if (!object.mText.empty() && name != NameOfZone(aNode.mZone).Text()) {
          ExecuteActions(
            aNode,
            aNode.mTable->OfferView(LocalTime(aNode),
                                    ZoneViewFromJson(object.mText).value()));
        }
      }
      for (const auto& key : mStoredWithdrawals) {
        ExecuteActions(aNode, aNode.mTable->Withdraw(LocalTime(aNode), key));
      }
      aNode.mWithdrawals->MarkSynchronised();
    });
  }

  /// Runs the action now, or when the process resumes if it is paused.
  void Deliver(Node& aNode, uint64_t aEpoch, std::function<void()> aAction)
  {
    if (aNode.mEpoch != aEpoch || !aNode.mTable) {
      return;
    }
    if (mNow < aNode.mPausedUntil) {
      aNode.mInbox.push_back(std::move(aAction));
    } else {
      aAction();
    }
  }

  void ExecuteActions(Node& aNode, const MembershipActions& aActions)
  {
    for (const auto& it : aActions) {
      if (const auto* send = std::get_if<act::SendPeer>(&it)) {
        Transmit(aNode, *send);
      } else if (std::holds_alternative<act::ReadView>(it)) {
        StartViewRead(aNode);
      } else if (const auto* write = std::get_if<act::WriteView>(&it)) {
        StartViewWrite(aNode, *write);
      } else if (const auto* adopted = std::get_if<act::ViewAdopted>(&it)) {
        OnAdopted(aNode, adopted->mView);
      } else if (std::holds_alternative<act::Ended>(it)) {
        OnEnded(aNode);
        return;
      } else if (const auto* link = std::get_if<act::CloseLink>(&it)) {
        mSilentLinks.erase({ aNode.mName, link->mTo });
      } else if (const auto* offer =
                   std::get_if<act::ConfigurationOffered>(&it)) {
        (void)aNode.mConfiguration->Accept(offer->mGeneration, offer->mText);
      } else if (const auto* report = std::get_if<act::LogWarning>(&it)) {
        RecordViolation(aNode.mName.Text() +
                        " logs a warning: " + report->mText);
      }
    }
  }

  void OnAdopted(Node& aNode, const ZoneView& aView)
  {
    ++mCounts.mViews;
    if (aView.mNumber <= aNode.mLastViewNumber) {
      RecordViolation(aNode.mName.Text() + " adopted a lower view");
    }
    aNode.mLastViewNumber = aView.mNumber;
    const auto owned = OwnedResources(aNode);
    std::erase_if(aNode.mHeldResources,
                  [&](auto aResource) { return !owned.contains(aResource); });
  }

  void OnEnded(Node& aNode)
  {
    ++mCounts.mEnded;
    aNode.mHeldResources.clear();
    aNode.mLastViewNumber = 0;
    if (aNode.mIsLeaving) {
      Stop(aNode, FromSeconds(mRandom.Uniform() * 10));
    } else {
      aNode.mTable->Rejoin(LocalTime(aNode), ++mIncarnation);
      ++aNode.mEpoch;
    }
  }

  void Stop(Node& aNode, Duration aRestartAfter)
  {
    // Destroys the table later, as the caller may be one of its methods.
    Schedule(
      {},
      [table = std::shared_ptr<MembershipTable>(aNode.mTable.release())] {});
    ++aNode.mEpoch;
    aNode.mHeldResources.clear();
    aNode.mRestartAt = mNow + aRestartAfter;
  }

  void Transmit(Node& aFrom, const act::SendPeer& aSend)
  {
    ++mCounts.mMessages;
    const auto frame = EncodePeerMessage(aSend.mMessage);
    if (!frame) {
      RecordViolation("a message cannot be encoded");
      return;
    }
    const DirectedLink link = aSend.mMessage.mIsReply
                                ? DirectedLink{ aSend.mTo, aFrom.mName }
                                : DirectedLink{ aFrom.mName, aSend.mTo };
    if (mSilentLinks.contains(link) ||
        mCutLinks.contains({ aFrom.mName, aSend.mTo }) ||
        mRandom.Chance(mOptions.mDropProbability)) {
      return;
    }
    for (int n = mRandom.Chance(0.02) ? 2 : 1; n > 0; --n) {
      Schedule(RandomDelay(), [this, to = aSend.mTo, bytes = frame.value()] {
        for (auto& node : mNodes) {
          if (node->mName == to) {
            Deliver(*node, node->mEpoch, [this, &node = *node, bytes] {
              const auto message = DecodePeerMessage(bytes);
              ExecuteActions(
                node, node.mTable->Handle(LocalTime(node), message.value()));
            });
          }
        }
      });
    }
  }

  void StartViewRead(Node& aNode)
  {
    const uint64_t epoch = aNode.mEpoch;
    const auto delay = RandomDelay();
    Schedule(delay, [this, &aNode, epoch, delay] {
      const auto& object = mStore[NameOfZone(aNode.mZone).Text()];
      const bool isLost =
        mNow < mStoreDownUntil || delay > kStoreTimeout || mRandom.Chance(0.02);
      const bool isStale = mRandom.Chance(0.05);
      const auto text = isStale ? object.mPreviousText : object.mText;
      const auto version = isStale ? object.mPreviousVersion : object.mVersion;
      Schedule(isLost ? kStoreTimeout : RandomDelay() / 4, [=, this, &aNode] {
        Deliver(aNode, epoch, [=, this, &aNode] {
          const Result<std::string> result =
            isLost ? Result<std::string>(
                       Error{ ResultCode::StoreUnavailable, "no answer", {} })
                   : Result<std::string>(text);
          ExecuteActions(
            aNode,
            aNode.mTable->OnStoreRead(LocalTime(aNode),
                                      result,
                                      version ? std::to_string(version) : ""));
        });
      });
    });
  }

  /// The write takes effect in the store after its own delay, whether or not
  /// the sender still waits for the answer or still exists.
  void StartViewWrite(Node& aNode, const act::WriteView& aWrite)
  {
    const uint64_t epoch = aNode.mEpoch;
    const auto delay = RandomDelay();
    const bool isAnswerLost = mRandom.Chance(0.1);
    auto outcome = std::make_shared<StoreWriteOutcome>();
    auto version = std::make_shared<std::string>();
    const auto answer = [=, this, &aNode] {
      Deliver(aNode, epoch, [=, this, &aNode] {
        ExecuteActions(
          aNode,
          aNode.mTable->OnStoreWrite(LocalTime(aNode), *outcome, *version));
      });
    };
    *outcome = StoreWriteOutcome::Unknown;
    const bool isLate = delay > kStoreTimeout / 2 || isAnswerLost;
    if (isLate) {
      ++mCounts.mLostWrites;
      Schedule(kStoreTimeout, answer);
    }
    Schedule(delay, [=, this, &aNode] {
      if (mNow < mStoreDownUntil) {
        if (!isLate) {
          Schedule(kStoreTimeout, answer);
        }
        return;
      }
      auto& object = mStore[NameOfZone(aNode.mZone).Text()];
      const auto current =
        object.mVersion ? std::to_string(object.mVersion) : "";
      const bool isMatch = current == aWrite.mVersion;
      if (isMatch) {
        object = {
          aWrite.mText, ++mLastVersion, object.mText, object.mVersion
        };
      }
      if (!isLate) {
        *outcome =
          isMatch ? StoreWriteOutcome::Written : StoreWriteOutcome::Conflict;
        *version = std::to_string(object.mVersion);
        Schedule(RandomDelay() / 8, answer);
      }
    });
  }

  std::set<unsigned> OwnedResources(const Node& aNode) const
  {
    std::set<unsigned> out;
    const auto names = aNode.mTable->Zone().View().Names();
    for (unsigned i = 0; i < kResources; ++i) {
      const auto* owner =
        FirstByRendezvous("resource-" + std::to_string(i), names);
      if (owner && *owner == aNode.mName) {
        out.insert(i);
      }
    }
    return out;
  }

  std::vector<InstanceName> UsersOf(unsigned aZone, unsigned aResource) const
  {
    std::vector<InstanceName> out;
    for (const auto& node : mNodes) {
      if (node->mZone == aZone && node->mTable && mNow >= node->mPausedUntil &&
          node->mHeldResources.contains(aResource) &&
          (!mOptions.mChecksLease ||
           node->mTable->Zone().MayActAsOwner(LocalTime(*node)))) {
        out.push_back(node->mName);
      }
    }
    return out;
  }

  bool AreConnected(const Node& aLeft, const Node& aRight) const
  {
    return IsUp(aLeft) && IsUp(aRight) &&
           !mCutLinks.contains({ aLeft.mName, aRight.mName }) &&
           !mCutLinks.contains({ aRight.mName, aLeft.mName }) &&
           (Knows(aLeft, aRight) || Knows(aRight, aLeft));
  }

  /// Returns true if `aNode` would send a message to this incarnation of the
  /// other instance.
  static bool Knows(const Node& aNode, const Node& aOther)
  {
    const auto* view = aNode.mTable->ViewOf(NameOfZone(aOther.mZone));
    return view && view->Contains(aOther.mName,
                                  aOther.mTable->Zone().Self().mIncarnation);
  }

  bool IsUp(const Node& aNode) const
  {
    return aNode.mTable && mNow >= aNode.mPausedUntil;
  }

  void CheckPropagation()
  {
    std::vector<std::vector<Node*>> components;
    std::set<Node*> seen;
    for (const auto& start : mNodes) {
      if (!IsUp(*start) || seen.contains(start.get())) {
        continue;
      }
      std::vector<Node*> component{ start.get() };
      seen.insert(start.get());
      for (size_t i = 0; i < component.size(); ++i) {
        for (const auto& it : mNodes) {
          if (!seen.contains(it.get()) && AreConnected(*component[i], *it)) {
            seen.insert(it.get());
            component.push_back(it.get());
          }
        }
      }
      components.push_back(std::move(component));
    }
    for (const auto& component : components) {
      uint64_t highest = 0;
      std::set<unsigned> withdrawn;
      for (const auto* node : component) {
        highest = std::max(highest, node->mConfiguration->Generation());
        for (unsigned i = 0; i < kKeys; ++i) {
          if (node->mWithdrawals->IsWithdrawn(mInventory.mKeys[i].mId)) {
            withdrawn.insert(i);
          }
        }
      }
      for (auto* node : component) {
        CheckNode(*node, highest, withdrawn);
      }
    }
    for (const auto& node : mNodes) {
      if (!IsUp(*node)) {
        node->mLacksWithdrawalSince.clear();
        node->mHasOldConfiguration = false;
      }
    }
  }

  void CheckNode(Node& aNode,
                 uint64_t aHighest,
                 const std::set<unsigned>& aWithdrawn)
  {
    const uint64_t generation = aNode.mConfiguration->Generation();
    if (generation < aNode.mLastGeneration) {
      RecordViolation(aNode.mName.Text() + " accepted a lower generation");
    }
    aNode.mLastGeneration = generation;
    if (generation >= aHighest) {
      aNode.mHasOldConfiguration = false;
    } else if (!aNode.mHasOldConfiguration) {
      aNode.mHasOldConfiguration = true;
      aNode.mOldConfigurationSince = mNow;
    } else if (mNow > aNode.mOldConfigurationSince + std::chrono::seconds(10)) {
      RecordViolation(aNode.mName.Text() +
                      " has lacked the current configuration for 10 s");
    }
    for (unsigned i = 0; i < kKeys; ++i) {
      const bool isAdmitted =
        aWithdrawn.contains(i) &&
        aNode.mCutOff->CheckKeyedRequest(LocalTime(aNode),
                                         *aNode.mWithdrawals) &&
        mKeyTable.Authenticate("secret-" + std::to_string(i),
                               *aNode.mWithdrawals);
      if (!isAdmitted) {
        aNode.mLacksWithdrawalSince.erase(i);
      } else if (mNow > aNode.mLacksWithdrawalSince.try_emplace(i, mNow)
                            .first->second +
                          std::chrono::seconds(5)) {
        RecordViolation(aNode.mName.Text() + " admits a key withdrawn 5 s ago");
      }
    }
  }

  void CheckInvariants()
  {
    for (unsigned zone = 0; zone < mOptions.mZones; ++zone) {
      for (unsigned i = 0; i < kResources; ++i) {
        const auto users = UsersOf(zone, i);
        mCounts.mUses += users.size();
        if (users.size() > 1) {
          RecordViolation(users[0].Text() + " and " + users[1].Text() +
                          " use resource " + std::to_string(i));
        }
      }
    }
    CheckPropagation();
  }

  Node& RandomNode() { return *mNodes[mRandom.Below(mNodes.size())]; }

  void StartFault()
  {
    ++mCounts.mFaults;
    auto& node = RandomNode();
    const auto duration = FromSeconds(mRandom.Exponential(6));
    const auto kind = mRandom.Below(9);
    switch (kind) {
      case 0:
        node.mPausedUntil = mNow + duration;
        break;
      case 1:
        if (node.mTable) {
          Stop(node, duration);
        }
        break;
      case 2:
        if (node.mTable && !node.mIsLeaving) {
          node.mIsLeaving = true;
          ExecuteActions(node, node.mTable->BeginLeave(LocalTime(node)));
        }
        break;
      case 3:
        mStoreDownUntil = mNow + duration;
        break;
      case 4: {
        const auto other = RandomNode().mName;
        const bool isBothWays = mRandom.Chance(0.5);
        for (const auto& cut : { DirectedLink{ node.mName, other },
                                 DirectedLink{ other, node.mName } }) {
          if (isBothWays || cut.first == node.mName) {
            mCutLinks.insert(cut);
            Schedule(duration, [this, cut] { mCutLinks.erase(cut); });
          }
        }
        break;
      }
      case 5:
        CutLinks(duration, [&](const Node& aNode) { return &aNode == &node; });
        break;
      case 6:
        CutLinks(duration,
                 [&](const Node& aNode) { return aNode.mZone == node.mZone; });
        break;
      case 7:
        mSilentLinks.insert({ node.mName, RandomNode().mName });
        break;
      default:
        if (mRandom.Chance(0.2) && node.mTable) {
          Terminate(node);
        }
    }
  }

  /// Cuts the links between the selected instances and all others, both ways.
  void CutLinks(Duration aDuration,
                const std::function<bool(const Node&)>& aIsSelected)
  {
    std::vector<DirectedLink> cuts;
    for (const auto& left : mNodes) {
      for (const auto& right : mNodes) {
        if (aIsSelected(*left) != aIsSelected(*right)) {
          cuts.emplace_back(left->mName, right->mName);
        }
      }
    }
    mCutLinks.insert(cuts.begin(), cuts.end());
    Schedule(aDuration, [this, cuts] {
      for (const auto& it : cuts) {
        mCutLinks.erase(it);
      }
    });
  }

  /// Terminates an instance. The platform lists it as terminated after a delay,
  /// and an instance with a new name replaces it.
  void Terminate(Node& aNode)
  {
    Stop(aNode, {});
    aNode.mIsTerminated = true;
    const auto name = aNode.mName;
    mTerminated.insert(name);
    Schedule(std::chrono::seconds(1 + mRandom.Below(10)), [this, name] {
      for (const auto& it : mNodes) {
        if (it->mTable) {
          it->mTable->OnTerminated(name);
        }
      }
      mListedAsTerminated.insert(name);
    });
    AddNode(aNode.mZone);
  }

  void MakeRandomChange()
  {
    auto& node = RandomNode();
    if (!IsUp(node)) {
      return;
    }
    if (mRandom.Chance(0.7)) {
      ++mGeneration;
      (void)node.mConfiguration->Accept(mGeneration,
                                        "text " + std::to_string(mGeneration));
    } else {
      const KeyId key = mInventory.mKeys[mRandom.Below(kKeys)].mId;
      mStoredWithdrawals.insert(key);
      ExecuteActions(node, node.mTable->Withdraw(LocalTime(node), key));
    }
  }

  void Step(bool aWithFaults)
  {
    const auto end = mNow + kStep;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = std::max(mNow, event.mAt);
      event.mAction();
    }
    mNow = end;
    // Checks a resumed member before it handles any message.
    CheckInvariants();
    if (aWithFaults && mRandom.Chance(mOptions.mFaultProbability)) {
      StartFault();
    }
    if (aWithFaults && mRandom.Chance(0.004)) {
      MakeRandomChange();
    }
    for (size_t i = 0; i < mNodes.size(); ++i) {
      AdvanceNode(*mNodes[i]);
    }
  }

  void AdvanceNode(Node& aNode)
  {
    if (!aNode.mTable) {
      if (!aNode.mIsTerminated && mNow >= aNode.mRestartAt) {
        Start(aNode);
      }
      return;
    }
    if (mNow < aNode.mPausedUntil) {
      return;
    }
    const auto inbox = std::move(aNode.mInbox);
    aNode.mInbox.clear();
    const uint64_t epoch = aNode.mEpoch;
    const bool isTickFirst = mRandom.Chance(0.5);
    if (isTickFirst) {
      ExecuteActions(aNode, aNode.mTable->Tick(LocalTime(aNode)));
    }
    for (const auto& it : inbox) {
      Deliver(aNode, epoch, it);
    }
    if (!isTickFirst && aNode.mTable) {
      ExecuteActions(aNode, aNode.mTable->Tick(LocalTime(aNode)));
    }
    if (!aNode.mTable) {
      return;
    }
    for (const auto& name : mListedAsTerminated) {
      aNode.mTable->OnTerminated(name);
    }
    const auto& zone = aNode.mTable->Zone();
    if (zone.IsSettled() ||
        (!mOptions.mWaitsUntilSettled &&
         zone.GetState() == ZoneMembership::State::Member)) {
      aNode.mHeldResources = OwnedResources(aNode);
    }
  }

  Options mOptions;
  Random mRandom;
  TimePoint mNow{ std::chrono::seconds(100) };
  std::priority_queue<Event> mEvents;
  uint64_t mOrder = 0;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<std::string, StoredObject> mStore;
  uint64_t mLastVersion = 0;
  TimePoint mStoreDownUntil;
  std::set<DirectedLink> mCutLinks;
  std::set<DirectedLink> mSilentLinks;
  std::set<InstanceName> mTerminated;
  std::set<InstanceName> mListedAsTerminated;
  std::set<KeyId> mStoredWithdrawals;
  Incarnation mIncarnation = 0;
  uint64_t mGeneration = 0;
  Inventory mInventory;
  KeyTable mKeyTable;
};

} // namespace pollenway
