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

/// Statistics of one run, by service and workspace.
class LoadStatistics
{
public:
  /// Result of a request after its last attempt.
  struct RequestEnd
  {
    std::string mWorkspace;
    std::string mService;
    /// Idempotency-Key, or empty.
    std::string mKey;
    AttemptResult mLast;
    /// Every attempt was refused as not run or couldn't connect.
    bool mNeverRan = false;
    Duration mLatency{};
  };

  void RecordArrival() { ++mArrivals; }
  void RecordNotSent() { ++mNotSent; }
  /// `aEntitled`: the ideal bucket of the workspace had a token for the
  /// attempt.
  void RecordAttempt(const std::string& aWorkspace,
                     const AttemptResult& aResult,
                     bool aEntitled);
  void RecordRequestEnd(const RequestEnd& aEnd);
  void RecordLookup(bool aSuccess, Duration aLatency);
  /// Sets the number of requests still in flight at the end of the run.
  void SetUnfinished(uint64_t aCount) { mUnfinished = aCount; }

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
    /// Entitled attempts that were refused with `RateExceeded`.
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
  /// Lost requests whose last attempt couldn't connect.
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
