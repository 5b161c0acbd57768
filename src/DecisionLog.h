#pragma once

#include "DecisionRecord.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace pollenway {

/// The decisions on the last requests of an instance, for `explain`.
class DecisionLog
{
public:
  /// At the goal of 2,000 requests/s these are the last two seconds.
  static constexpr size_t kDefaultCapacity = 4096;

  explicit DecisionLog(size_t aCapacity = kDefaultCapacity);

  /// Adds the decision on a request that has ended; the oldest one is dropped
  /// if the log is full.
  void Add(DecisionRecord aRecord);

  /// The request's decision, or null if it is not among those kept. The pointer
  /// is valid until the next `Add`.
  const DecisionRecord* Find(std::string_view aId) const;

  /// Up to `aCount` decisions, newest first. Valid until the next `Add`.
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
