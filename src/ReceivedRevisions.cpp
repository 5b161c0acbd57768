#include "ReceivedRevisions.h"

#include <iterator>

namespace pollenway {

void ReceivedRevisions::Add(StorePosition aVersion)
{
  if (aVersion.mEra < mEra) {
    return;
  }
  if (aVersion.mEra > mEra) {
    mEra = aVersion.mEra;
    mRevisions.clear();
  }
  mRevisions.insert(aVersion.mRevision);
  if (mRevisions.size() > kMaxRevisions) {
    mRevisions.erase(mRevisions.begin());
  }
}

bool ReceivedRevisions::Cover(StorePosition aAfter, StorePosition aUpTo) const
{
  if (aUpTo <= aAfter) {
    return true;
  }
  const uint64_t changes = aUpTo.mRevision - aAfter.mRevision;
  if (aUpTo.mEra != aAfter.mEra || aUpTo.mEra != mEra ||
      changes > mRevisions.size()) {
    return false;
  }
  const auto first = mRevisions.upper_bound(aAfter.mRevision);
  const auto last = mRevisions.upper_bound(aUpTo.mRevision);
  return uint64_t(std::distance(first, last)) == changes;
}

} // namespace pollenway
