#pragma once

#include "Time.h"

#include <deque>
#include <map>
#include <string>

namespace pollenway {

/// The platform's list of instances. Readers see it as it was a while ago.
class InstanceList
{
public:
  void Set(const std::string& aName, const std::string& aState, TimePoint aTime)
  {
    mEntries[aName].push_back({ aTime, aState });
  }

  /// States by name as they were at `aTime`. States that were replaced before
  /// it are dropped, so later calls must not ask for an earlier time.
  std::map<std::string, std::string> At(TimePoint aTime)
  {
    std::map<std::string, std::string> states;
    for (auto& [name, entries] : mEntries) {
      while (entries.size() > 1 && entries[1].mSince <= aTime) {
        entries.pop_front();
      }
      if (entries.front().mSince <= aTime) {
        states[name] = entries.front().mState;
      }
    }
    return states;
  }

private:
  struct Entry
  {
    TimePoint mSince;
    std::string mState;
  };

  std::map<std::string, std::deque<Entry>> mEntries;
};

} // namespace pollenway
