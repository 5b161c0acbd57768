#pragma once

#include "HomeDirectory.h"
#include "IdempotencyTable.h"
#include "ProtectedRequest.h"
#include "Random.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pollenway {

/// Fake of the platform's store, with conditional updates, outages and answers
/// lost after a write took effect.
class HomeStore
{
public:
  enum class Answer
  {
    Ok,
    Conflict,
    Lost, ///< The write may have taken effect.
  };

  std::map<unsigned, HomeView> mViews;
  HomeMap mMap;
  TimePoint mDownUntil{};

  Answer PutView(unsigned aZone, const HomeView& aView, Random& aRandom)
  {
    if (mViews[aZone].mNumber + 1 != aView.mNumber) {
      return Answer::Conflict;
    }
    const double chance = aRandom.Uniform();
    if (chance >= 0.05) {
      mViews[aZone] = aView;
    }
    return chance < 0.1 ? Answer::Lost : Answer::Ok;
  }
  Answer PutMap(const HomeMap& aMap, Random& aRandom)
  {
    if (mMap.mVersion + 1 != aMap.mVersion) {
      return Answer::Conflict;
    }
    const double chance = aRandom.Uniform();
    if (chance >= 0.05) {
      mMap = aMap;
    }
    return chance < 0.1 ? Answer::Lost : Answer::Ok;
  }
};

/// Simulates several zones of homes and receivers, a network and a store that
/// fail, and callers that repeat requests at random. Times are short so that
/// the retention time passes often. Checks in each step that no key runs twice
/// within the retention time, that no request reported as not run has run and
/// that each answer belongs to its key.
class HomeModel
{
public:
  static constexpr unsigned kZones = 4;
  static constexpr unsigned kInstances = 3;
  static constexpr unsigned kUsedPartitions = 8;
  /// Shorter than in production, like all times here.
  static constexpr Duration kEvictionDelay = std::chrono::seconds(2);

  struct Counts
  {
    uint64_t mRequests = 0;
    uint64_t mRuns = 0;
    uint64_t mRepeatsAnswered = 0;
    uint64_t mRefusedNotRun = 0;
    uint64_t mRefusedUnknown = 0;
    uint64_t mRepeatedAfterRetention = 0;
    uint64_t mCrashes = 0;
    uint64_t mPauses = 0;
    uint64_t mViews = 0;
    uint64_t mIsolations = 0;
    uint64_t mMoves = 0;
    std::map<ResultCode, uint64_t> mCodes;
  };

  explicit HomeModel(uint64_t aSeed)
    : mRandom(aSeed)
  {
    std::vector<HomeZone> starts;
    for (unsigned zone = 0; zone < kZones; ++zone) {
      std::vector<HomeMember> members;
      for (unsigned i = 0; i < kInstances; ++i) {
        members.push_back(Start(zone, i).mSelf);
      }
      mStore.mViews[zone] = HomeView{}.Next(members);
      starts.push_back({ .mZone = Zone(zone), .mViewNumber = 1 });
    }
    mStore.mMap = CreateHomeMap(starts);
  }

  /// Advances the time, delivers messages, runs timers, injects faults if
  /// `aFaults` is set, changes views and sends requests.
  void Step(bool aFaults)
  {
    mNow += std::chrono::milliseconds(5 + mRandom.Below(30));
    Deliver();
    RunTimers();
    if (aFaults) {
      InjectFault();
    }
    ChangeViews();
    for (unsigned i = 0; i < 3; ++i) {
      if (mRandom.Chance(0.45) || mKeys.empty()) {
        Request(NewKey());
      } else {
        // Mostly recent keys; some are older than the retention time.
        const size_t back = mRandom.Chance(0.7) ? 20 : 3000;
        const size_t n = std::min(back, mKeys.size());
        Request(mKeys.size() - 1 - mRandom.Below(n));
      }
    }
  }

  /// Ends all faults. Requests get long deadlines from then on.
  void EndFaults()
  {
    mFaultsEnded = true;
    mIsolatedUntil.clear();
    mStore.mDownUntil = mNow;
    for (auto& [name, process] : mProcesses) {
      process->mPausedUntil = mNow;
    }
  }

  /// Sends requests with `aKeys` new keys and returns how many were answered or
  /// refused with `RecordsLost`; the others found no serving home.
  unsigned CountServed(unsigned aKeys)
  {
    unsigned served = 0;
    for (unsigned i = 0; i < aKeys; ++i) {
      const size_t key = NewKey();
      const uint64_t attempt = Request(key);
      for (int step = 0; step < 400 && !mResults.count(attempt); ++step) {
        mNow += std::chrono::milliseconds(20);
        Deliver();
        RunTimers();
      }
      const auto code = mResults[attempt];
      served +=
        code == ResultCode::Ok || code == ResultCode::RecordsLost ? 1 : 0;
    }
    return served;
  }

  const Counts& Result() const { return mCounts; }

private:
  struct Key
  {
    RecordKey mKey;
    std::vector<TimePoint> mRuns;
  };
  struct Attempt
  {
    size_t mKey = 0;
    std::unique_ptr<ProtectedRequest> mRequest;
    TimePoint mDeadline{};
    TimePoint mNextSend{};
    std::optional<TimePoint> mStartAt;
    std::optional<TimePoint> mEndAt;
    AttemptOutcome mAttemptOutcome = AttemptOutcome::Unknown;
    bool mRan = false;
    bool mReportedNotRun = false;
    std::string mAnswer;
    TimePoint mReportUntil{};
  };
  struct Process
  {
    HomeMember mSelf;
    unsigned mZone = 0;
    bool mAlive = true;
    TimePoint mPausedUntil{};
    TimePoint mPausedSince{};
    TimePoint mDiedAt{};
    TimePoint mRestartAt{};
    std::optional<TimePoint> mLeaveAt;
    HomeDirectory mDirectory;
    std::unique_ptr<IdempotencyTable> mTable;
    std::map<uint64_t, Attempt> mAttempts;
    TimePoint mNextTick{};
    TimePoint mNextPoll{};
  };
  struct Packet
  {
    HomeMember mFrom;
    HomeMember mTo;
    HomeMessage mMessage;
  };

  static IdempotencyOptions Options()
  {
    using namespace std::chrono_literals;
    return { .mRetention = 12s,
             .mStartWindow = 2s,
             .mMaxServiceTimeout = 4s,
             .mBackupAckTimeout = 1s,
             .mMaxPageBytes = 2000 };
  }
  static ZoneName Zone(unsigned aZone)
  {
    return ZoneName("z" + std::to_string(aZone));
  }
  static std::string Name(unsigned aZone, unsigned aInstance)
  {
    return "z" + std::to_string(aZone) + "-" + std::to_string(aInstance);
  }
  Duration RandomDuration(int aMinMs, int aMaxMs)
  {
    return std::chrono::milliseconds(aMinMs +
                                     int(mRandom.Below(aMaxMs - aMinMs)));
  }
  bool IsIsolated(unsigned aZone) const
  {
    auto it = mIsolatedUntil.find(aZone);
    return it != mIsolatedUntil.end() && it->second > mNow;
  }
  bool CanReachStore(unsigned aZone) const
  {
    return mStore.mDownUntil <= mNow && !IsIsolated(aZone);
  }
  static bool IsIn(const std::vector<HomeMember>& aMembers,
                   const HomeMember& aMember)
  {
    return std::find(aMembers.begin(), aMembers.end(), aMember) !=
           aMembers.end();
  }
  bool IsPaused(const Process& aProcess) const
  {
    return aProcess.mPausedUntil > mNow;
  }

  Process& Start(unsigned aZone, unsigned aInstance)
  {
    auto process = std::make_unique<Process>();
    process->mSelf = { .mName = InstanceName(Name(aZone, aInstance)),
                       .mIncarnation = ++mIncarnation };
    process->mZone = aZone;
    process->mTable = std::make_unique<IdempotencyTable>(
      Zone(aZone), process->mSelf, Options());
    auto& out = *process;
    mProcesses[Name(aZone, aInstance)] = std::move(process);
    return out;
  }

  void Send(const HomeMember& aFrom, const HomeAction& aAction)
  {
    const unsigned copies = mRandom.Chance(0.02) ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
      if (mRandom.Chance(0.02) && aAction.mTo != aFrom) {
        continue;
      }
      const bool late = mRandom.Chance(0.01);
      const bool near = ZoneOf(aFrom) == ZoneOf(aAction.mTo);
      mNetwork.emplace(mNow + (late   ? RandomDuration(500, 25000)
                               : near ? RandomDuration(1, 8)
                                      : RandomDuration(20, 60)),
                       Packet{ aFrom, aAction.mTo, aAction.mMessage });
    }
  }

  Process* Find(const HomeMember& aMember)
  {
    auto it = mProcesses.find(aMember.mName.Text());
    return it != mProcesses.end() && it->second->mAlive &&
               it->second->mSelf == aMember
             ? it->second.get()
             : nullptr;
  }
  static unsigned ZoneOf(const HomeMember& aMember)
  {
    return unsigned(aMember.mName.Text()[1] - '0');
  }

  void Deliver()
  {
    while (!mNetwork.empty() && mNetwork.begin()->first <= mNow) {
      Packet packet = std::move(mNetwork.begin()->second);
      mNetwork.erase(mNetwork.begin());
      auto* to = Find(packet.mTo);
      const unsigned from = ZoneOf(packet.mFrom);
      const unsigned zone = ZoneOf(packet.mTo);
      if (!to || (from != zone && (IsIsolated(from) || IsIsolated(zone)))) {
        continue;
      }
      if (IsPaused(*to)) {
        mNetwork.emplace(to->mPausedUntil + RandomDuration(0, 5),
                         std::move(packet));
        continue;
      }
      if (auto* reply = std::get_if<RecordBeginReply>(&packet.mMessage)) {
        OnReply(*to, *reply);
      } else if (auto* end = std::get_if<RecordEndReply>(&packet.mMessage)) {
        auto it = to->mAttempts.find(end->mAttempt.mNumber);
        if (it != to->mAttempts.end()) {
          it->second.mRequest->OnEndReply();
        }
      } else {
        to->mTable->OnMessage(packet.mFrom, packet.mMessage, mNow);
        Flush(*to);
      }
    }
  }

  void Flush(Process& aProcess)
  {
    for (const auto& it : aProcess.mTable->TakeActions()) {
      Send(aProcess.mSelf, it);
    }
  }

  void OnReply(Process& aProcess, const RecordBeginReply& aReply)
  {
    auto it = aProcess.mAttempts.find(aReply.mAttempt.mNumber);
    if (it == aProcess.mAttempts.end()) {
      return;
    }
    auto& attempt = it->second;
    switch (attempt.mRequest->OnReply(aReply, mNow)) {
      case ProtectedRequest::Step::Run:
        attempt.mStartAt = mNow + (mFaultsEnded || mRandom.Chance(0.9)
                                     ? RandomDuration(0, 50)
                                     : RandomDuration(0, 5000));
        break;
      case ProtectedRequest::Step::Answer:
        ++mCounts.mRepeatsAnswered;
        REQUIRE(!mKeys[attempt.mKey].mRuns.empty());
        REQUIRE(IsAnswerOf(mKeys[attempt.mKey], attempt.mRequest->Answer()));
        mResults[it->first] = ResultCode::Ok;
        break;
      case ProtectedRequest::Step::Refuse:
        Refuse(it->first, attempt);
        break;
      case ProtectedRequest::Step::Wait:
      case ProtectedRequest::Step::Done:
        break;
    }
  }

  static std::string AnswerOf(const Key& aKey, size_t aRun)
  {
    return aKey.mKey.mKey + "/" + std::to_string(aRun);
  }

  // A late reply may carry the answer of a run before the last run.
  static bool IsAnswerOf(const Key& aKey, const std::string& aAnswer)
  {
    for (size_t run = 1; run <= aKey.mRuns.size(); ++run) {
      if (aAnswer == AnswerOf(aKey, run)) {
        return true;
      }
    }
    return false;
  }

  void Refuse(uint64_t aNumber, Attempt& aAttempt)
  {
    const auto code = aAttempt.mRequest->Refusal();
    mResults[aNumber] = code;
    ++mCounts.mCodes[code];
    switch (OutcomeOf(code)) {
      case Outcome::NotRun:
        ++mCounts.mRefusedNotRun;
        REQUIRE_FALSE(aAttempt.mRan);
        aAttempt.mReportedNotRun = true;
        break;
      case Outcome::Ran:
        REQUIRE(!mKeys[aAttempt.mKey].mRuns.empty());
        break;
      case Outcome::Unknown:
        ++mCounts.mRefusedUnknown;
        break;
    }
  }

  // Executes the request at the backend server.
  void Run(Attempt& aAttempt)
  {
    auto& key = mKeys[aAttempt.mKey];
    REQUIRE_FALSE(aAttempt.mReportedNotRun);
    REQUIRE_FALSE(aAttempt.mRan);
    if (!key.mRuns.empty()) {
      REQUIRE(mNow - key.mRuns.back() >= Options().mRetention);
      ++mCounts.mRepeatedAfterRetention;
    }
    aAttempt.mRan = true;
    key.mRuns.push_back(mNow);
    aAttempt.mAnswer = AnswerOf(key, key.mRuns.size());
    ++mCounts.mRuns;
  }

  void Advance(Process& aProcess, uint64_t aNumber, Attempt& aAttempt)
  {
    auto& request = *aAttempt.mRequest;
    if (aAttempt.mStartAt && *aAttempt.mStartAt <= mNow) {
      aAttempt.mStartAt.reset();
      if (request.TryStart(mNow)) {
        aAttempt.mEndAt = mNow + RandomDuration(5, 2000);
        const double chance = mRandom.Uniform();
        if (chance < 0.1) {
          aAttempt.mAttemptOutcome = AttemptOutcome::NotRun;
        } else if (chance < 0.2) {
          aAttempt.mAttemptOutcome = AttemptOutcome::Unknown;
          if (mRandom.Chance(0.5)) {
            Run(aAttempt);
          }
        } else {
          aAttempt.mAttemptOutcome = AttemptOutcome::Answered;
          Run(aAttempt);
        }
      } else {
        Refuse(aNumber, aAttempt);
      }
    }
    if (aAttempt.mEndAt && *aAttempt.mEndAt <= mNow) {
      aAttempt.mEndAt.reset();
      aAttempt.mReportedNotRun =
        aAttempt.mAttemptOutcome == AttemptOutcome::NotRun;
      request.End(aAttempt.mAttemptOutcome, aAttempt.mAnswer);
      mResults[aNumber] = ResultCode::Ok;
    }
    if (mNow >= aAttempt.mDeadline &&
        request.GiveUp() == ProtectedRequest::Step::Refuse) {
      Refuse(aNumber, aAttempt);
    }
    if (mNow >= aAttempt.mNextSend) {
      aAttempt.mNextSend = mNow + Options().mResendInterval;
      auto action = request.BeginMessage(aProcess.mDirectory, mNow);
      if (!action) {
        action = request.EndMessage(aProcess.mDirectory);
      }
      if (action) {
        Send(aProcess.mSelf, *action);
      }
    }
  }

  void RunTimers()
  {
    for (auto& [name, process] : mProcesses) {
      if (!process->mAlive) {
        if (process->mRestartAt <= mNow) {
          Start(process->mZone, unsigned(name.back() - '0'));
        }
        continue;
      }
      if (IsPaused(*process)) {
        continue;
      }
      if (process->mLeaveAt && *process->mLeaveAt <= mNow &&
          (mServing[process->mZone] ||
           mNow - *process->mLeaveAt > std::chrono::seconds(6))) {
        Kill(*process);
        continue;
      }
      if (process->mNextPoll <= mNow && CanReachStore(process->mZone)) {
        process->mNextPoll = mNow + RandomDuration(50, 1200);
        Poll(*process);
        if (process->mSelf.mIncarnation !=
            mProcesses[name]->mSelf.mIncarnation) {
          continue;
        }
      }
      if (process->mNextTick <= mNow) {
        process->mNextTick = mNow + std::chrono::milliseconds(100);
        process->mTable->Tick(mNow);
      }
      for (auto it = process->mAttempts.begin();
           it != process->mAttempts.end();) {
        Advance(*process, it->first, it->second);
        const bool done =
          it->second.mRequest->IsDone() || mNow >= it->second.mReportUntil;
        it = done ? process->mAttempts.erase(it) : std::next(it);
      }
      Flush(*process);
    }
  }

  // Reads the map and the views from the store. A process that was evicted
  // restarts as another incarnation.
  void Poll(Process& aProcess)
  {
    aProcess.mDirectory.SetMap(mStore.mMap);
    for (const auto& [zone, view] : mStore.mViews) {
      aProcess.mDirectory.SetView(Zone(zone), view);
    }
    aProcess.mTable->OnDirectory(aProcess.mDirectory, mNow);
    Flush(aProcess);
    if (mJoined.count(aProcess.mSelf) && !aProcess.mLeaveAt &&
        !IsIn(mStore.mViews[aProcess.mZone].mMembers, aProcess.mSelf)) {
      Kill(aProcess);
    }
  }

  void Kill(Process& aProcess)
  {
    if (aProcess.mAlive) {
      aProcess.mAlive = false;
      aProcess.mDiedAt = mNow;
      aProcess.mRestartAt = mNow + RandomDuration(200, 4000);
      aProcess.mAttempts.clear();
    }
  }

  Process& RandomProcess()
  {
    auto it = mProcesses.begin();
    std::advance(it, mRandom.Below(mProcesses.size()));
    return *it->second;
  }

  void InjectFault()
  {
    if (mRandom.Chance(1.0 / 700)) {
      ++mCounts.mCrashes;
      Kill(RandomProcess());
    }
    if (mRandom.Chance(1.0 / 500)) {
      auto& process = RandomProcess();
      ++mCounts.mPauses;
      process.mPausedSince = mNow;
      process.mPausedUntil =
        mNow + (mRandom.Chance(0.7) ? RandomDuration(100, 9000)
                                    : RandomDuration(9000, 40000));
    }
    if (mRandom.Chance(1.0 / 150)) {
      auto& process = RandomProcess();
      auto& view = mStore.mViews[process.mZone];
      if (process.mAlive && !process.mLeaveAt &&
          view.mMembers.size() == kInstances &&
          IsIn(view.mMembers, process.mSelf) && CanReachStore(process.mZone)) {
        Remove(process.mZone, process.mSelf);
        process.mLeaveAt = mNow + RandomDuration(1500, 3000);
      }
    }
    if (mRandom.Chance(1.0 / 2500)) {
      ++mCounts.mIsolations;
      mIsolatedUntil[unsigned(mRandom.Below(kZones))] =
        mNow + RandomDuration(2000, 45000);
    }
    if (mRandom.Chance(1.0 / 2500)) {
      mStore.mDownUntil = mNow + RandomDuration(1000, 20000);
    }
    if (mRandom.Chance(1.0 / 6000)) {
      FailZone(unsigned(mRandom.Below(kZones)));
    }
  }

  void Remove(unsigned aZone, const HomeMember& aMember)
  {
    auto members = mStore.mViews[aZone].mMembers;
    std::erase(members, aMember);
    ChangeView(aZone, members);
  }

  // After a lost answer the writer repeats the conditional update; a conflict
  // shows that the first one took effect.
  void ChangeView(unsigned aZone, const std::vector<HomeMember>& aMembers)
  {
    const auto next = mStore.mViews[aZone].Next(aMembers);
    auto answer = HomeStore::Answer::Lost;
    while (answer == HomeStore::Answer::Lost) {
      answer = mStore.PutView(aZone, next, mRandom);
    }
    ++mCounts.mViews;
  }

  // Evicts and adds members by conditional updates.
  void ChangeViews()
  {
    for (auto& [zone, view] : mStore.mViews) {
      if (!CanReachStore(zone) || !mRandom.Chance(0.1)) {
        continue;
      }
      for (const auto& member : std::vector(view.mMembers)) {
        auto& process = *mProcesses[member.mName.Text()];
        const bool gone = !process.mAlive || process.mSelf != member;
        const auto since = gone ? process.mDiedAt : process.mPausedSince;
        const bool silent = gone || IsPaused(process);
        if (silent && mNow - since > kEvictionDelay &&
            view.mMembers.size() > 1) {
          Remove(zone, member);
          break;
        }
      }
      for (unsigned i = 0; i < kInstances; ++i) {
        auto& process = *mProcesses[Name(zone, i)];
        if (!process.mAlive || IsPaused(process) || process.mLeaveAt ||
            mJoined.count(process.mSelf)) {
          continue;
        }
        mJoined.insert(process.mSelf);
        if (IsIn(view.mMembers, process.mSelf)) {
          continue;
        }
        auto members = view.mMembers;
        std::erase_if(members, [&](const HomeMember& aMember) {
          return aMember.mName == process.mSelf.mName;
        });
        members.push_back(process.mSelf);
        ChangeView(zone, members);
      }
      MoveUnservedPartitions(zone);
    }
  }

  // If the homes of a partition are all lost, the operator stops the zone and
  // moves its partitions.
  void MoveUnservedPartitions(unsigned aZone)
  {
    bool serving = true;
    for (unsigned i = 0; i < kHomePartitions && serving; ++i) {
      if (mStore.mMap.mPartitions[i].mZone != Zone(aZone)) {
        continue;
      }
      serving = false;
      for (unsigned n = 0; n < kInstances; ++n) {
        auto& process = *mProcesses[Name(aZone, n)];
        serving = serving || (process.mAlive && !process.mLeaveAt &&
                              process.mTable->Role(i) == HomeRole::Serving);
      }
    }
    mServing[aZone] = serving;
    auto& since = mUnservedSince[aZone];
    if (serving || since == TimePoint{}) {
      since = mNow;
    } else if (mNow - since > std::chrono::seconds(15)) {
      since = mNow;
      FailZone(aZone);
    }
  }

  void FailZone(unsigned aZone)
  {
    const unsigned to =
      unsigned((aZone + 1 + mRandom.Below(kZones - 1)) % kZones);
    if (!CanReachStore(aZone) || !CanReachStore(to)) {
      return;
    }
    ++mCounts.mMoves;
    for (unsigned i = 0; i < kInstances; ++i) {
      Kill(*mProcesses[Name(aZone, i)]);
    }
    const auto next = MoveHomes(
      mStore.mMap,
      Zone(aZone),
      { { .mZone = Zone(to), .mViewNumber = mStore.mViews[to].mNumber } });
    auto answer = HomeStore::Answer::Lost;
    while (answer == HomeStore::Answer::Lost) {
      answer = mStore.PutMap(next, mRandom);
    }
  }

  size_t NewKey()
  {
    // Uses few partitions, so that requests and changes of homes often
    // coincide.
    RecordKey key{ .mWorkspace = WorkspaceName("w"), .mKey = {} };
    const unsigned partition = unsigned(mRandom.Below(kUsedPartitions));
    do {
      key.mKey = std::to_string(++mKeyNumber);
    } while (key.Partition() != partition);
    mKeys.push_back({ .mKey = std::move(key), .mRuns = {} });
    return mKeys.size() - 1;
  }

  uint64_t Request(size_t aKey)
  {
    auto& process = RandomProcess();
    const uint64_t number = ++mAttempts;
    if (!process.mAlive) {
      return number;
    }
    ++mCounts.mRequests;
    auto& attempt = process.mAttempts[number];
    attempt.mKey = aKey;
    attempt.mRequest = std::make_unique<ProtectedRequest>(
      mKeys[aKey].mKey,
      7,
      AttemptId{ .mReceiver = process.mSelf, .mNumber = number },
      Options());
    attempt.mDeadline = mNow + RandomDuration(mFaultsEnded ? 3900 : 200, 4000);
    attempt.mReportUntil = mNow + Options().mRetention;
    return number;
  }

  Random mRandom;
  bool mFaultsEnded = false;
  TimePoint mNow{ std::chrono::seconds(100) };
  uint64_t mIncarnation = 0;
  uint64_t mAttempts = 0;
  uint64_t mKeyNumber = 0;
  Counts mCounts;
  std::map<std::string, std::unique_ptr<Process>> mProcesses;
  std::multimap<TimePoint, Packet> mNetwork;
  HomeStore mStore;
  std::map<unsigned, TimePoint> mIsolatedUntil;
  std::map<unsigned, TimePoint> mUnservedSince;
  /// True for a zone if each of its partitions has a serving home that is not
  /// about to leave.
  std::map<unsigned, bool> mServing;
  std::set<HomeMember> mJoined;
  std::vector<Key> mKeys;
  std::map<uint64_t, ResultCode> mResults;
};

} // namespace pollenway
