#include "RequestObserver.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Bounds the size of a record for services with many targets.
constexpr size_t kMaxUnusableTargets = 16;

} // namespace

std::string_view Name(AttemptFailure aFailure)
{
  switch (aFailure) {
    case AttemptFailure::ConnectFailed:
      return "connect-failed";
    case AttemptFailure::TargetClosed:
      return "target-closed";
    case AttemptFailure::Shed:
      return "shed";
    case AttemptFailure::ConnectionLost:
      return "connection-lost";
    case AttemptFailure::AnswerCut:
      return "answer-cut";
    case AttemptFailure::Timeout:
      return "timeout";
  }
  return "unknown";
}

DecisionRecord RequestObserver::Start(TimePoint aNow)
{
  DecisionRecord out;
  out.mStartedAt = aNow;
  return out;
}

void RequestObserver::RecordAttempt(DecisionRecord& aRecord,
                                    const TargetName& aTarget,
                                    ResultCode aRefusal,
                                    std::optional<AttemptFailure> aFailure,
                                    Duration aDuration)
{
  std::string_view result = "answered";
  if (aRefusal != ResultCode::Ok) {
    result = Name(aRefusal);
  } else if (aFailure) {
    result = Name(*aFailure);
  }
  aRecord.mAttempts.push_back({ aTarget, std::string(result), aDuration });
}

void RequestObserver::RecordUnusableTargets(
  DecisionRecord& aRecord,
  std::span<const TargetAssessment> aTargets)
{
  const auto kept =
    aTargets.first(std::min(kMaxUnusableTargets, aTargets.size()));
  aRecord.mUnusable.assign(kept.begin(), kept.end());
}

void RequestObserver::End(DecisionRecord aRecord, TimePoint aNow)
{
  aRecord.mEndedAt = aNow;
  mMetrics.OnRequest(
    aRecord.mService, aRecord.mCode, aNow - aRecord.mStartedAt);
  mDecisions.Add(std::move(aRecord));
}

} // namespace pollenway
