#pragma once

#include "Assert.h"
#include "Ids.h"
#include "Time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenway {

/// Bounds of a `FairQueue`, in requests.
struct FairQueueOptions
{
  unsigned mLimit = 16;
  /// Bound for each workspace, so that one can't fill the queue.
  unsigned mWorkspaceLimit = 8;
};

/// The short queue before one target: weighted deficit round robin between
/// workspaces, first in first out within one. Each request costs 1. If the
/// queue is full, the newest request of the workspace with the longest queue
/// relative to its weight gives way to one of a shorter queue; it has not been
/// started, so its refusal as not run is true. `Item` is movable.
template<typename Item>
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Names a waiting item; never 0.
  using EntryId = uint64_t;

  struct PushResult
  {
    /// 0 if the item was refused (`QueueFull`).
    EntryId mId = 0;
    /// Items to refuse as `QueueFull`: the pushed one if `mId` is 0, else the
    /// one that gave way to it, if any.
    std::optional<Item> mRefused;
  };

  PushResult Push(const WorkspaceName& aWorkspace,
                  double aWeight,
                  TimePoint aDeadline,
                  Item aItem)
  {
    auto& lane = mWorkspaceQueues[aWorkspace];
    lane.mWeight = std::max(aWeight, kMinWeight);
    PushResult out;
    if (lane.mEntries.size() >= mOptions.mWorkspaceLimit) {
      out.mRefused = std::move(aItem);
      return out;
    }
    if (mCount >= mOptions.mLimit) {
      auto longest = LongestQueue();
      if (longest == mWorkspaceQueues.end() ||
          double(lane.mEntries.size() + 1) / lane.mWeight >=
            longest->second.Length()) {
        RemoveIfEmpty(aWorkspace);
        out.mRefused = std::move(aItem);
        return out;
      }
      out.mRefused = std::move(longest->second.mEntries.back().mItem);
      longest->second.mEntries.pop_back();
      --mCount;
      const WorkspaceName name = longest->first;
      RemoveIfEmpty(name);
    }
    out.mId = mNextId++;
    if (lane.mEntries.empty()) {
      mActiveWorkspaces.push_back(aWorkspace);
    }
    lane.mEntries.push_back({ out.mId, aDeadline, std::move(aItem) });
    ++mCount;
    POLLENWAY_ASSERT(mCount <= mOptions.mLimit, "the queue is over its bound");
    return out;
  }

  /// The next item to start; nothing if none waits whose deadline is after
  /// `aNow`. Expired items found on the way are kept for `TakeExpired`.
  std::optional<Item> Pop(TimePoint aNow)
  {
    RemoveExpired(aNow);
    if (mActiveWorkspaces.empty()) {
      return std::nullopt;
    }
    // The heaviest lane earns 1 a round, so that each round serves an item.
    double heaviest = kMinWeight;
    for (const auto& it : mActiveWorkspaces) {
      heaviest = std::max(heaviest, mWorkspaceQueues.at(it).mWeight);
    }
    for (;;) {
      const WorkspaceName name = mActiveWorkspaces.front();
      auto& lane = mWorkspaceQueues.at(name);
      if (!lane.mVisited) {
        lane.mDeficit += lane.mWeight / heaviest;
        lane.mVisited = true;
      }
      if (lane.mDeficit < 1 - kRounding) {
        lane.mVisited = false;
        mActiveWorkspaces.splice(mActiveWorkspaces.end(),
                                 mActiveWorkspaces,
                                 mActiveWorkspaces.begin());
        continue;
      }
      lane.mDeficit -= 1;
      Item out = std::move(lane.mEntries.front().mItem);
      lane.mEntries.pop_front();
      --mCount;
      if (lane.mEntries.empty()) {
        RemoveIfEmpty(name);
      } else if (lane.mDeficit < 1 - kRounding) {
        lane.mVisited = false;
        mActiveWorkspaces.splice(mActiveWorkspaces.end(),
                                 mActiveWorkspaces,
                                 mActiveWorkspaces.begin());
      }
      return out;
    }
  }

  /// Items whose deadline has passed, to be refused as `DeadlineBeforeStart`.
  std::vector<Item> TakeExpired(TimePoint aNow)
  {
    RemoveExpired(aNow);
    return std::exchange(mExpired, {});
  }

  /// Removes a waiting item, for instance of a caller that has gone.
  std::optional<Item> Remove(EntryId aId)
  {
    for (auto& [name, lane] : mWorkspaceQueues) {
      for (auto it = lane.mEntries.begin(); it != lane.mEntries.end(); ++it) {
        if (it->mId == aId) {
          Item out = std::move(it->mItem);
          lane.mEntries.erase(it);
          --mCount;
          const WorkspaceName empty = name;
          RemoveIfEmpty(empty);
          return out;
        }
      }
    }
    return std::nullopt;
  }

  /// Removes all items, for instance after the target has left.
  std::vector<Item> TakeAll()
  {
    std::vector<Item> out = std::exchange(mExpired, {});
    for (auto& [name, lane] : mWorkspaceQueues) {
      for (auto& it : lane.mEntries) {
        out.push_back(std::move(it.mItem));
      }
    }
    mWorkspaceQueues.clear();
    mActiveWorkspaces.clear();
    mCount = 0;
    return out;
  }

  size_t Size() const { return mCount; }
  bool IsEmpty() const { return mCount == 0; }

  /// Requests of one workspace that wait.
  size_t SizeOf(const WorkspaceName& aWorkspace) const
  {
    auto it = mWorkspaceQueues.find(aWorkspace);
    return it == mWorkspaceQueues.end() ? 0 : it->second.mEntries.size();
  }

  /// The earliest deadline, for the owner's timer.
  std::optional<TimePoint> NextDeadline() const
  {
    std::optional<TimePoint> next;
    for (const auto& [name, lane] : mWorkspaceQueues) {
      for (const auto& it : lane.mEntries) {
        next = next ? std::min(*next, it.mDeadline) : it.mDeadline;
      }
    }
    return next;
  }

private:
  // Bounds the relation between the greatest and the least weight, and so the
  // rounds that a lane waits.
  static constexpr double kMinWeight = 0.001;
  static constexpr double kRounding = 1e-9;

  struct Entry
  {
    EntryId mId;
    TimePoint mDeadline;
    Item mItem;
  };
  struct WorkspaceQueue
  {
    double mWeight = 1;
    double mDeficit = 0;
    bool mVisited = false;
    std::deque<Entry> mEntries;

    double Length() const { return double(mEntries.size()) / mWeight; }
  };
  // Ordered by name, so that equal input gives equal order on all builds.
  using WorkspaceQueues = std::map<WorkspaceName, WorkspaceQueue>;

  typename WorkspaceQueues::iterator LongestQueue()
  {
    auto best = mWorkspaceQueues.end();
    for (auto it = mWorkspaceQueues.begin(); it != mWorkspaceQueues.end();
         ++it) {
      if (!it->second.mEntries.empty() &&
          (best == mWorkspaceQueues.end() ||
           it->second.Length() > best->second.Length())) {
        best = it;
      }
    }
    return best;
  }

  // An idle workspace keeps no deficit, as it would otherwise save up service.
  void RemoveIfEmpty(const WorkspaceName& aName)
  {
    auto it = mWorkspaceQueues.find(aName);
    if (it != mWorkspaceQueues.end() && it->second.mEntries.empty()) {
      mActiveWorkspaces.remove(aName);
      mWorkspaceQueues.erase(it);
    }
  }

  void RemoveExpired(TimePoint aNow)
  {
    std::vector<WorkspaceName> touched;
    for (auto& [name, lane] : mWorkspaceQueues) {
      for (auto it = lane.mEntries.begin(); it != lane.mEntries.end();) {
        if (it->mDeadline <= aNow) {
          mExpired.push_back(std::move(it->mItem));
          it = lane.mEntries.erase(it);
          --mCount;
          touched.push_back(name);
        } else {
          ++it;
        }
      }
    }
    for (const auto& it : touched) {
      RemoveIfEmpty(it);
    }
  }

  FairQueueOptions mOptions;
  WorkspaceQueues mWorkspaceQueues;
  std::list<WorkspaceName> mActiveWorkspaces;
  std::vector<Item> mExpired;
  size_t mCount = 0;
  EntryId mNextId = 1;
};

} // namespace pollenway
