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

/// Limits of a `FairQueue`, in requests.
struct FairQueueOptions
{
  unsigned mLimit = 16;
  /// Limit for each workspace, so that one can't fill the queue.
  unsigned mWorkspaceLimit = 8;
};

/// The bounded queue for one target: weighted deficit round robin between
/// workspaces, first in first out within a workspace. Each request costs 1. If
/// the queue is full, a request of a workspace with a shorter queue replaces
/// the newest request of the workspace with the longest queue, relative to the
/// weights. The replaced request has not been started, so it can be refused as
/// not run. `Item` must be movable.
template<typename Item>
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// Identifies a queued item; never 0.
  using EntryId = uint64_t;

  struct PushResult
  {
    /// 0 if the item was refused (`QueueFull`).
    EntryId mId = 0;
    /// The item to refuse as `QueueFull`: the pushed one if `mId` is 0, else
    /// the one that it replaced, if any.
    std::optional<Item> mRefused;
  };

  PushResult Push(const WorkspaceName& aWorkspace,
                  double aWeight,
                  TimePoint aDeadline,
                  Item aItem)
  {
    auto& queue = mWorkspaceQueues[aWorkspace];
    queue.mWeight = std::max(aWeight, kMinWeight);
    PushResult out;
    if (queue.mEntries.size() >= mOptions.mWorkspaceLimit) {
      out.mRefused = std::move(aItem);
      return out;
    }
    if (mCount >= mOptions.mLimit) {
      auto longest = LongestQueue();
      if (longest == mWorkspaceQueues.end() ||
          double(queue.mEntries.size() + 1) / queue.mWeight >=
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
    if (queue.mEntries.empty()) {
      mActiveWorkspaces.push_back(aWorkspace);
    }
    queue.mEntries.push_back({ out.mId, aDeadline, std::move(aItem) });
    ++mCount;
    POLLENWAY_ASSERT(mCount <= mOptions.mLimit, "the queue exceeds its limit");
    return out;
  }

  /// Removes and returns the next item to start; none if no queued item has a
  /// deadline after `aNow`. Expired items are kept for `TakeExpired`.
  std::optional<Item> Pop(TimePoint aNow)
  {
    RemoveExpired(aNow);
    if (mActiveWorkspaces.empty()) {
      return std::nullopt;
    }
    // Weights are scaled so that the largest adds 1 per round. Each round then
    // serves at least one item.
    double maxWeight = kMinWeight;
    for (const auto& it : mActiveWorkspaces) {
      maxWeight = std::max(maxWeight, mWorkspaceQueues.at(it).mWeight);
    }
    for (;;) {
      const WorkspaceName name = mActiveWorkspaces.front();
      auto& queue = mWorkspaceQueues.at(name);
      if (!queue.mVisited) {
        queue.mDeficit += queue.mWeight / maxWeight;
        queue.mVisited = true;
      }
      if (queue.mDeficit < 1 - kRounding) {
        queue.mVisited = false;
        mActiveWorkspaces.splice(mActiveWorkspaces.end(),
                                 mActiveWorkspaces,
                                 mActiveWorkspaces.begin());
        continue;
      }
      queue.mDeficit -= 1;
      Item out = std::move(queue.mEntries.front().mItem);
      queue.mEntries.pop_front();
      --mCount;
      if (queue.mEntries.empty()) {
        RemoveIfEmpty(name);
      } else if (queue.mDeficit < 1 - kRounding) {
        queue.mVisited = false;
        mActiveWorkspaces.splice(mActiveWorkspaces.end(),
                                 mActiveWorkspaces,
                                 mActiveWorkspaces.begin());
      }
      return out;
    }
  }

  /// Removes and returns the items whose deadline has passed. They are to be
  /// refused as `DeadlineBeforeStart`.
  std::vector<Item> TakeExpired(TimePoint aNow)
  {
    RemoveExpired(aNow);
    return std::exchange(mExpired, {});
  }

  /// Removes a queued item, for example if its caller has disconnected.
  std::optional<Item> Remove(EntryId aId)
  {
    for (auto& [name, queue] : mWorkspaceQueues) {
      for (auto it = queue.mEntries.begin(); it != queue.mEntries.end(); ++it) {
        if (it->mId == aId) {
          Item out = std::move(it->mItem);
          queue.mEntries.erase(it);
          --mCount;
          const WorkspaceName empty = name;
          RemoveIfEmpty(empty);
          return out;
        }
      }
    }
    return std::nullopt;
  }

  /// Removes and returns all items, for example after the target has left.
  std::vector<Item> TakeAll()
  {
    std::vector<Item> out = std::exchange(mExpired, {});
    for (auto& [name, queue] : mWorkspaceQueues) {
      for (auto& it : queue.mEntries) {
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

  /// Returns the number of queued requests of one workspace.
  size_t SizeOf(const WorkspaceName& aWorkspace) const
  {
    auto it = mWorkspaceQueues.find(aWorkspace);
    return it == mWorkspaceQueues.end() ? 0 : it->second.mEntries.size();
  }

  /// Returns the earliest deadline, to which the queue's user sets its timer.
  std::optional<TimePoint> NextDeadline() const
  {
    std::optional<TimePoint> next;
    for (const auto& [name, queue] : mWorkspaceQueues) {
      for (const auto& it : queue.mEntries) {
        next = next ? std::min(*next, it.mDeadline) : it.mDeadline;
      }
    }
    return next;
  }

private:
  // Bounds the ratio of the largest to the smallest weight, and so the number
  // of rounds that a workspace waits.
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
  // Sorted by name, so that equal input gives equal order in all builds.
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

  // An idle workspace keeps no deficit, as it would otherwise accumulate
  // service.
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
    for (auto& [name, queue] : mWorkspaceQueues) {
      for (auto it = queue.mEntries.begin(); it != queue.mEntries.end();) {
        if (it->mDeadline <= aNow) {
          mExpired.push_back(std::move(it->mItem));
          it = queue.mEntries.erase(it);
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
