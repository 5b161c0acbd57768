#include "DecisionLog.h"

#include <algorithm>

namespace pollenway {

DecisionLog::DecisionLog(size_t aCapacity)
  : mCapacity(std::max<size_t>(aCapacity, 1))
{
}

void DecisionLog::Add(DecisionRecord aRecord)
{
  if (mRecords.size() < mCapacity) {
    mRecords.push_back(std::move(aRecord));
    return;
  }
  mRecords[mNext] = std::move(aRecord);
  mNext = (mNext + 1) % mCapacity;
}

const DecisionRecord* DecisionLog::Find(std::string_view aId) const
{
  const auto it = std::ranges::find(mRecords, aId, &DecisionRecord::mId);
  return it == mRecords.end() ? nullptr : &*it;
}

std::vector<const DecisionRecord*> DecisionLog::Last(size_t aCount) const
{
  const size_t size = mRecords.size();
  std::vector<const DecisionRecord*> out;
  for (size_t n = 1; n <= std::min(aCount, size); ++n) {
    out.push_back(&mRecords[(mNext + size - n) % size]);
  }
  return out;
}

} // namespace pollenway
