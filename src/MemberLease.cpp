#include "MemberLease.h"

namespace pollenway {

void MemberLease::RecordGrant(const InstanceName& aGrantor,
                              Incarnation aIncarnation,
                              TimePoint aSentAt)
{
  auto [it, isNew] = mGrants.try_emplace(aGrantor);
  if (isNew || it->second.mSentAt < aSentAt) {
    it->second = { aIncarnation, aSentAt };
  }
  // Grants expire after 4 s; removing them bounds the table in large zones.
  std::erase_if(mGrants, [&](const auto& aGrant) {
    return aGrant.second.mSentAt + mLeaseTime < aSentAt;
  });
}

void MemberLease::RemoveGrants(const InstanceName& aGrantor)
{
  mGrants.erase(aGrantor);
}

bool MemberLease::IsValid(TimePoint aNow) const
{
  for (const auto& [name, grant] : mGrants) {
    if (aNow < grant.mSentAt + mLeaseTime) {
      return true;
    }
  }
  return false;
}

} // namespace pollenway
