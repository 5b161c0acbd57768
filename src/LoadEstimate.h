#pragma once

#include "LoadReport.h"

#include <optional>
#include <vector>

namespace pollenway {

/// A zone's load from reports that lag, stop or mislead. A value is accepted
/// only from two sources that agree (the own count is a source); the weight of
/// a report halves every 5 s and ends after 30 s. With no two that agree, the
/// last accepted value holds.
class LoadEstimate
{
public:
  /// Keeps the newest report of each source, of at most 16 sources.
  void Add(const LoadReport& aReport);

  /// Accepts a new value if the reports allow it. Two reports agree within a
  /// fifth of the larger or 5% of `aCapacity` (requests/s).
  void Update(double aCapacity, TimePoint aNow);

  /// Requests/s; none before the first accepted value.
  std::optional<double> Accepted() const { return mAccepted; }
  /// Whether the last update accepted a value.
  bool IsCurrent() const { return mIsCurrent; }

private:
  std::vector<LoadReport> mReports;
  std::optional<double> mAccepted;
  bool mIsCurrent = false;
};

} // namespace pollenway
