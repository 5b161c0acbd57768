#include "LoadStatistics.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

using Kind = AttemptResult::Kind;

double Share(uint64_t aPart, uint64_t aWhole)
{
  return aWhole ? double(aPart) / double(aWhole) : 0;
}

} // namespace

void LoadStatistics::RecordAttempt(const std::string& aWorkspace,
                                   const AttemptResult& aResult,
                                   bool aEntitled)
{
  auto& workspace = mWorkspaces[aWorkspace];
  switch (aResult.mKind) {
    case Kind::ConnectFailed:
      ++mConnectionErrors["connect"];
      return;
    case Kind::Broken:
      ++mConnectionErrors[aResult.mReusedConnection ? "reused" : "new"];
      break;
    case Kind::Cut:
      ++mConnectionErrors["cut_answer"];
      break;
    case Kind::NotRun:
    case Kind::Unknown:
    case Kind::Ran:
      ++mRefusals[std::string(Name(aResult.mCode))];
      break;
    case Kind::OtherStatus:
      ++mOtherStatus[std::to_string(aResult.mStatus)];
      break;
    case Kind::Answered:
    case Kind::Mismatched:
      break;
  }
  ++workspace.mAttempts;
  workspace.mEntitled += aEntitled ? 1 : 0;
  if (aResult.mCode == ResultCode::RateExceeded) {
    ++workspace.mRateExceeded;
    workspace.mWrongful += aEntitled ? 1 : 0;
  }
}

void LoadStatistics::RecordRequestEnd(const RequestEnd& aEnd)
{
  auto& workspace = mWorkspaces[aEnd.mWorkspace];
  ++workspace.mRequests;
  if (!aEnd.mKey.empty() && aEnd.mNeverRan) {
    mKeysNeverRun.insert(aEnd.mKey);
  }
  switch (aEnd.mLast.mKind) {
    case Kind::Answered:
      ++mAnswered;
      ++workspace.mAnswered;
      workspace.mLatency.Add(aEnd.mLatency);
      mServices[aEnd.mService].Add(aEnd.mLatency);
      mAll.Add(aEnd.mLatency);
      if (!aEnd.mKey.empty()) {
        mKeysAnswered.insert(aEnd.mKey);
      }
      break;
    case Kind::NotRun:
    case Kind::OtherStatus:
      ++mRefused;
      break;
    case Kind::Unknown:
      ++mUnknown;
      break;
    case Kind::Ran:
      ++mRan;
      break;
    case Kind::Mismatched:
      ++mMismatched;
      break;
    case Kind::ConnectFailed:
      ++mUnreachable;
      ++mLost;
      break;
    case Kind::Broken:
    case Kind::Cut:
      ++mLost;
      break;
  }
}

void LoadStatistics::RecordLookup(bool aSuccess, Duration aLatency)
{
  if (aSuccess) {
    mLookups.Add(aLatency);
  } else {
    ++mFailedLookups;
  }
}

nlohmann::json LoadStatistics::ToJson() const
{
  nlohmann::json document;
  document["requests"] = mArrivals;
  document["not_sent"] = mNotSent;
  document["answered"] = mAnswered;
  document["refused"] = mRefused;
  document["outcome_unknown"] = mUnknown;
  document["already_ran"] = mRan;
  document["lost"] = Lost();
  document["lost_unreachable"] = mUnreachable;
  document["unfinished"] = mUnfinished;
  document["mismatched"] = mMismatched;
  document["refusals_by_code"] = mRefusals;
  document["other_status"] = mOtherStatus;
  document["connection_errors"] = mConnectionErrors;
  document["lookups"] = mLookups.ToJson();
  document["lookups"]["failed"] = mFailedLookups;
  document["latency"] = mAll.ToJson();
  document["services"] = nlohmann::json::object();
  for (const auto& [name, latency] : mServices) {
    document["services"][name] = latency.ToJson();
  }
  uint64_t attempts = 0;
  uint64_t wrongful = 0;
  std::string worstByShare;
  std::string worstByP99;
  double lowestShare = 2;
  double highestP99 = -1;
  document["workspaces"] = nlohmann::json::object();
  for (const auto& [name, it] : mWorkspaces) {
    // Relative to the entitled attempts, so that a workspace that sends more
    // than its rate doesn't appear to be badly served.
    const double share =
      it.mEntitled ? std::min(1.0, Share(it.mAnswered, it.mEntitled)) : 1;
    const double p99 = it.mLatency.Quantile(0.99);
    auto& entry = document["workspaces"][name];
    entry = it.mLatency.ToJson();
    entry["requests"] = it.mRequests;
    entry["attempts"] = it.mAttempts;
    entry["answered"] = it.mAnswered;
    entry["entitled_attempts"] = it.mEntitled;
    entry["answered_share_of_entitled"] = share;
    entry["rate_exceeded"] = it.mRateExceeded;
    entry["wrongful_refusals"] = it.mWrongful;
    entry["wrongful_share"] = Share(it.mWrongful, it.mAttempts);
    attempts += it.mAttempts;
    wrongful += it.mWrongful;
    if (share < lowestShare) {
      lowestShare = share;
      worstByShare = name;
    }
    if (p99 > highestP99) {
      highestP99 = p99;
      worstByP99 = name;
    }
  }
  document["attempts"] = attempts;
  document["wrongful_refusals"] = wrongful;
  document["wrongful_share"] = Share(wrongful, attempts);
  document["worst_workspace_by_answered"] = worstByShare;
  document["worst_workspace_by_p99"] = worstByP99;
  return document;
}

} // namespace pollenway
