#pragma once

#include "Time.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>
#include <vector>

namespace pollenway {

/// Histogram of latencies from 10 us to 200 s with a resolution of about 1.4%.
class LatencyHistogram
{
public:
  void Add(Duration aLatency)
  {
    const double ms = ToSeconds(aLatency) * 1e3;
    mBins(ms);
    ++mCount;
    mMax = std::max(mMax, ms);
  }

  uint64_t Count() const { return mCount; }

  /// Returns the quantile `aQuantile` (0 to 1) in ms: the upper edge of its
  /// bin, at most the maximum. Returns 0 without samples.
  double Quantile(double aQuantile) const
  {
    const double wanted = aQuantile * double(mCount);
    double seen = 0;
    for (int i = -1; i < mBins.axis().size(); ++i) {
      seen += mBins.at(i);
      if (seen >= wanted && seen > 0) {
        return std::min(mMax, mBins.axis().bin(i).upper());
      }
    }
    return mMax;
  }

  nlohmann::json ToJson() const
  {
    nlohmann::json document;
    document["count"] = mCount;
    document["p50_ms"] = Quantile(0.5);
    document["p99_ms"] = Quantile(0.99);
    document["max_ms"] = mMax;
    return document;
  }

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Bins = boost::histogram::histogram<std::tuple<Axis>>;

  Bins mBins = boost::histogram::make_histogram(Axis(1200, 0.01, 200'000.0));
  uint64_t mCount = 0;
  double mMax = 0;
};

} // namespace pollenway
