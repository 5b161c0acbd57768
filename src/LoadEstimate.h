#pragma once

#include "LoadReport.h"

#include <optional>
#include <vector>

namespace pollenway {

/// Estimates a zone's load from reports that may be delayed, missing or wrong.
/// A value is accepted only if two sources agree (the own measurement is one
/// source). The weight of a report halves every 5 s, and a report is discarded
/// after 30 s. If no two sources agree, the last accepted value is kept.
class LoadEstimate
{
public:
  /// Adds a report. Keeps the newest report of each of at most 16 sources.
  void Add(const LoadReport& aReport);

  /// Accepts a new value if two reports agree. Reports agree if they differ by
  /// at most one fifth of the larger or 5% of `aCapacity` (requests/s).
  void Update(double aCapacity, TimePoint aNow);

  /// Returns the load in requests/s; none before the first accepted value.
  std::optional<double> Accepted() const { return mAccepted; }
  /// Returns true if the last update accepted a value.
  bool IsCurrent() const { return mIsCurrent; }

private:
  std::vector<LoadReport> mReports;
  std::optional<double> mAccepted;
  bool mIsCurrent = false;
};

} // namespace pollenway
