#pragma once

#include "AttemptResult.h"
#include "LatencyHistogram.h"
#include "Operation.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>

namespace pollenway {

/// Counts of one run, by service and workspace.
class LoadStatistics
{
public:
  /// A request as a whole, after its last attempt.
  struct RequestEnd
  {
    std::string mWorkspace;
    std::string mService;
    /// Idempotency-Key or empty.
    std::string mKey;
    AttemptResult mLast;
    /// True if each attempt was refused as not run or couldn't connect.
    bool mNeverRan = false;
    Duration mLatency{};
  };

  void NoteArrival() { ++mArrivals; }
  void NoteNotSent() { ++mNotSent; }
  /// `aEntitled`: the workspace's ideal bucket had a token for the attempt.
  void RecordAttempt(const std::string& aWorkspace,
                     const AttemptResult& aResult,
                     bool aEntitled);
  void NoteEnd(const RequestEnd& aEnd);
  void NoteLookup(bool aSuccess, Duration aLatency);
  /// Requests still open when the run was ended.
  void NoteUnfinished(uint64_t aCount) { mUnfinished = aCount; }

  uint64_t Lost() const { return mLost + mUnfinished; }
  uint64_t Mismatched() const { return mMismatched; }
  uint64_t Answered() const { return mAnswered; }
  const std::unordered_set<std::string>& KeysNeverRun() const
  {
    return mKeysNeverRun;
  }
  const std::unordered_set<std::string>& KeysAnswered() const
  {
    return mKeysAnswered;
  }

  nlohmann::json ToJson() const;

private:
  struct WorkspaceCounts
  {
    uint64_t mAttempts = 0;
    uint64_t mEntitled = 0;
    uint64_t mRateExceeded = 0;
    uint64_t mWrongful = 0;
    uint64_t mRequests = 0;
    uint64_t mAnswered = 0;
    LatencyHistogram mLatency;
  };

  uint64_t mArrivals = 0;
  uint64_t mNotSent = 0;
  uint64_t mUnfinished = 0;
  uint64_t mAnswered = 0;
  uint64_t mLost = 0;
  /// Those of the lost requests whose last attempt couldn't connect.
  uint64_t mUnreachable = 0;
  uint64_t mMismatched = 0;
  uint64_t mUnknown = 0;
  uint64_t mRan = 0;
  uint64_t mRefused = 0;
  std::map<std::string, uint64_t> mRefusals;
  std::map<std::string, uint64_t> mOtherStatus;
  std::map<std::string, uint64_t> mConnectionErrors;
  std::map<std::string, WorkspaceCounts> mWorkspaces;
  std::map<std::string, LatencyHistogram> mServices;
  LatencyHistogram mAll;
  LatencyHistogram mLookups;
  uint64_t mFailedLookups = 0;
  std::unordered_set<std::string> mKeysNeverRun;
  std::unordered_set<std::string> mKeysAnswered;
};

} // namespace pollenway
