#include "HomeView.h"

namespace pollenway {

HomeView HomeView::Next(std::vector<HomeMember> aMembers) const
{
  HomeView next{ .mNumber = mNumber + 1,
                 .mMembers = std::move(aMembers),
                 .mEarlier = mEarlier };
  next.mEarlier[mNumber] = mMembers;
  while (next.mEarlier.size() > kMaxEarlierHomeViews) {
    next.mEarlier.erase(next.mEarlier.begin());
  }
  return next;
}

const std::vector<HomeMember>* HomeView::MembersOf(uint64_t aNumber) const
{
  if (aNumber == mNumber) {
    return &mMembers;
  }
  auto it = mEarlier.find(aNumber);
  return it == mEarlier.end() ? nullptr : &it->second;
}

} // namespace pollenway
