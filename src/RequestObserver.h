#pragma once

#include "DecisionLog.h"
#include "MetricsRegistry.h"
#include "RetryPolicy.h"

#include <span>
#include <string_view>

namespace pollenway {

/// Records callers' requests for `/metrics` and `/explain`: `Start` at each
/// request, the `Note...` functions on its way, `End` once.
class RequestObserver
{
public:
  static DecisionRecord Start(TimePoint aNow);
  /// An attempt ended: refused with a code other than `Ok`, failed, or neither
  /// if it was answered.
  static void RecordAttempt(DecisionRecord& aRecord,
                            const TargetName& aTarget,
                            ResultCode aRefusal,
                            std::optional<AttemptFailure> aFailure,
                            Duration aDuration);
  /// No target was left to try.
  static void RecordUnusableTargets(DecisionRecord& aRecord,
                                    std::span<const TargetAssessment> aTargets);
  void End(DecisionRecord aRecord, TimePoint aNow);

  const MetricsRegistry& Metrics() const { return mMetrics; }
  const DecisionLog& Decisions() const { return mDecisions; }

private:
  MetricsRegistry mMetrics;
  DecisionLog mDecisions;
};

/// "connect-failed", "shed" and so on.
std::string_view Name(AttemptFailure aFailure);

} // namespace pollenway
