#pragma once

#include "Time.h"

#include <deque>
#include <map>
#include <string>

namespace pollenway {

/// The platform's list of instances with its recent history, so that readers
/// can be shown an outdated list.
class InstanceList
{
public:
  void Set(const std::string& aName, const std::string& aState, TimePoint aTime)
  {
    mEntries[aName].push_back({ aTime, aState });
  }

  /// Returns the states by name as of `aTime`. Discards states that were
  /// replaced before it, so `aTime` must not decrease between calls.
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
