#pragma once

#include "DecisionRecord.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace pollenway {

/// Ring buffer of the decisions on an instance's most recent requests, read by
/// `explain`.
class DecisionLog
{
public:
  /// Holds the last two seconds at the goal of 2,000 requests/s.
  static constexpr size_t kDefaultCapacity = 4096;

  explicit DecisionLog(size_t aCapacity = kDefaultCapacity);

  /// Adds the decision on a completed request and discards the oldest one if
  /// the log is full.
  void Add(DecisionRecord aRecord);

  /// Returns the request's decision, or null if the log no longer holds it. The
  /// pointer is valid until the next `Add`.
  const DecisionRecord* Find(std::string_view aId) const;

  /// Returns up to `aCount` decisions, newest first. The pointers are valid
  /// until the next `Add`.
  std::vector<const DecisionRecord*> Last(size_t aCount) const;

  size_t Size() const { return mRecords.size(); }
  size_t Capacity() const { return mCapacity; }

private:
  size_t mCapacity;
  /// Index of the oldest record once the log is full.
  size_t mNext = 0;
  std::vector<DecisionRecord> mRecords;
};

} // namespace pollenway
