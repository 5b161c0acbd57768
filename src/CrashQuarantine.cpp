#include "CrashQuarantine.h"

#include "Assert.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace pollenway {

namespace {

// Minimum time between two searches for expired entries, each of which scans
// all entries.
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
// Number of crashes at which a request is quarantined.
constexpr size_t kQuarantineThreshold = 2;

} // namespace

std::string RequestFingerprint::Text() const
{
  char buf[17];
  std::snprintf(
    buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(mValue));
  return buf;
}

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions aOptions)
  : mOptions(aOptions)
{
}

void CrashQuarantine::RemoveSuspect(RequestFingerprint aRequest)
{
  auto it = mSuspects.find(aRequest);
  if (it == mSuspects.end()) {
    return;
  }
  for (const auto& crash : it->second.mCrashes) {
    auto entry = mCrashes.find(crash);
    if (entry != mCrashes.end()) {
      entry->second.erase(aRequest);
      if (entry->second.empty()) {
        mCrashes.erase(entry);
      }
    }
  }
  mSuspects.erase(it);
}

void CrashQuarantine::Expire(TimePoint aNow)
{
  if (aNow < mNextExpiry) {
    return;
  }
  mNextExpiry = aNow + kExpiryInterval;
  std::vector<RequestFingerprint> expired;
  for (const auto& [request, suspect] : mSuspects) {
    const TimePoint since =
      suspect.mQuarantinedUntil
        ? std::max(*suspect.mQuarantinedUntil, suspect.mLastEventAt)
        : suspect.mLastEventAt;
    if (!suspect.mRunningOn && since + mOptions.mSuspectTtl <= aNow) {
      expired.push_back(request);
    }
  }
  for (const auto& it : expired) {
    RemoveSuspect(it);
  }
  std::erase_if(mSeenCrashes, [&](const auto& aEntry) {
    return aEntry.second + mOptions.mSuspectTtl <= aNow;
  });
}

CrashQuarantine::Verdict CrashQuarantine::Check(RequestFingerprint aRequest,
                                                TimePoint aNow)
{
  if (mSuspects.empty()) {
    return Verdict::Free;
  }
  Expire(aNow);
  auto it = mSuspects.find(aRequest);
  if (it == mSuspects.end()) {
    return Verdict::Free;
  }
  const auto& until = it->second.mQuarantinedUntil;
  return until && *until > aNow ? Verdict::Quarantined : Verdict::Suspect;
}

std::optional<TimePoint> CrashQuarantine::QuarantinedUntil(
  RequestFingerprint aRequest) const
{
  auto it = mSuspects.find(aRequest);
  return it == mSuspects.end() ? std::nullopt : it->second.mQuarantinedUntil;
}

bool CrashQuarantine::TryStartSuspect(RequestFingerprint aRequest,
                                      const TargetName& aTarget,
                                      TimePoint aNow)
{
  if (Check(aRequest, aNow) != Verdict::Suspect) {
    return false;
  }
  for (const auto& [request, suspect] : mSuspects) {
    if (suspect.mRunningOn &&
        (request == aRequest || *suspect.mRunningOn == aTarget)) {
      return false;
    }
  }
  mSuspects.at(aRequest).mRunningOn = aTarget;
  return true;
}

bool CrashQuarantine::HasSuspect(
  const std::vector<RequestFingerprint>& aInFlight) const
{
  return std::any_of(
    aInFlight.begin(), aInFlight.end(), [this](RequestFingerprint aIt) {
      return mSuspects.count(aIt) > 0;
    });
}

bool CrashQuarantine::OnCompleted(RequestFingerprint aRequest)
{
  if (!mSuspects.count(aRequest)) {
    return false;
  }
  RemoveSuspect(aRequest);
  return true;
}

void CrashQuarantine::OnSuspectRunEnded(RequestFingerprint aRequest)
{
  auto it = mSuspects.find(aRequest);
  if (it != mSuspects.end()) {
    it->second.mRunningOn.reset();
  }
}

void CrashQuarantine::OnCleared(RequestFingerprint aRequest)
{
  RemoveSuspect(aRequest);
}

void CrashQuarantine::QuarantineRequests(
  const std::set<RequestFingerprint>& aRequests,
  const CrashId& aLast,
  TimePoint aNow)
{
  std::set<CrashId> explained;
  for (const auto& it : aRequests) {
    auto& suspect = mSuspects.at(it);
    const auto factor = 1u << std::min(suspect.mQuarantineCount, 10u);
    suspect.mQuarantinedUntil =
      aNow + std::min(mOptions.mMaxQuarantineTime,
                      mOptions.mInitialQuarantineTime * factor);
    ++suspect.mQuarantineCount;
    explained.insert(suspect.mCrashes.begin(), suspect.mCrashes.end());
  }
  // The earlier crashes no longer count against the other requests in flight at
  // them. The requests in flight at the last crash stay suspects, as one of
  // them may be its cause.
  explained.erase(aLast);
  for (const auto& crash : explained) {
    auto entry = mCrashes.find(crash);
    if (entry == mCrashes.end()) {
      continue;
    }
    for (const auto& it : std::set(entry->second)) {
      if (!aRequests.count(it)) {
        RemoveCrash(it, crash);
      }
    }
  }
}

void CrashQuarantine::RemoveCrash(RequestFingerprint aRequest,
                                  const CrashId& aCrash)
{
  mCrashes.at(aCrash).erase(aRequest);
  auto& suspect = mSuspects.at(aRequest);
  suspect.mCrashes.erase(aCrash);
  if (suspect.mCrashes.size() < kQuarantineThreshold) {
    suspect.mQuarantinedUntil.reset();
    suspect.mQuarantineCount = 0;
  }
  if (suspect.mCrashes.empty()) {
    RemoveSuspect(aRequest);
  }
}

void CrashQuarantine::OnCrash(const CrashReport& aReport, TimePoint aNow)
{
  Expire(aNow);
  if (!mSeenCrashes.emplace(aReport.mId, aNow).second) {
    return;
  }
  std::set<RequestFingerprint> toQuarantine;
  for (const auto& it : aReport.mInFlight) {
    auto& suspect = mSuspects[it];
    suspect.mCrashes.insert(aReport.mId);
    suspect.mRunningOn.reset();
    suspect.mLastEventAt = aNow;
    mCrashes[aReport.mId].insert(it);
    if (suspect.mCrashes.size() >= kQuarantineThreshold ||
        suspect.mQuarantineCount > 0) {
      toQuarantine.insert(it);
    }
  }
  if (!toQuarantine.empty()) {
    QuarantineRequests(toQuarantine, aReport.mId, aNow);
  }
  while (mSuspects.size() > mOptions.mMaxSuspects) {
    auto oldest = mSuspects.end();
    for (auto it = mSuspects.begin(); it != mSuspects.end(); ++it) {
      if (!it->second.mQuarantinedUntil &&
          (oldest == mSuspects.end() ||
           it->second.mLastEventAt < oldest->second.mLastEventAt)) {
        oldest = it;
      }
    }
    RemoveSuspect(oldest == mSuspects.end() ? mSuspects.begin()->first
                                            : oldest->first);
  }
}

size_t CrashQuarantine::Quarantined(TimePoint aNow) const
{
  size_t n = 0;
  for (const auto& [request, suspect] : mSuspects) {
    n += suspect.mQuarantinedUntil && *suspect.mQuarantinedUntil > aNow ? 1 : 0;
  }
  return n;
}

} // namespace pollenway
