#pragma once

#include "DecisionLog.h"
#include "MetricsRegistry.h"
#include "RetryPolicy.h"

#include <span>
#include <string_view>

namespace pollenway {

/// Records callers' requests for `/metrics` and `/explain`: call `Start` for
/// each request, the `Record...` functions while it is processed, and `End`
/// once.
class RequestObserver
{
public:
  static DecisionRecord Start(TimePoint aNow);
  /// Records a completed attempt: refused with a code other than `Ok`, failed,
  /// or answered if neither applies.
  static void RecordAttempt(DecisionRecord& aRecord,
                            const TargetName& aTarget,
                            ResultCode aRefusal,
                            std::optional<AttemptFailure> aFailure,
                            Duration aDuration);
  /// Records the assessments of the targets if none was left to try.
  static void RecordUnusableTargets(DecisionRecord& aRecord,
                                    std::span<const TargetAssessment> aTargets);
  void End(DecisionRecord aRecord, TimePoint aNow);

  const MetricsRegistry& Metrics() const { return mMetrics; }
  const DecisionLog& Decisions() const { return mDecisions; }

private:
  MetricsRegistry mMetrics;
  DecisionLog mDecisions;
};

/// Returns "connect-failed", "shed" and so on.
std::string_view Name(AttemptFailure aFailure);

} // namespace pollenway
