#include "ContactList.h"

#include <algorithm>

namespace pollenway {

bool ContactList::Add(const IpEndpoint& aEndpoint, TimePoint aNow)
{
  if (mContacts.size() >= kMaxContacts) {
    return false;
  }
  return mContacts
    .try_emplace(aEndpoint, Contact{ aNow, aNow, kInitialInterval })
    .second;
}

std::vector<IpEndpoint> ContactList::TakeDue(TimePoint aNow)
{
  std::erase_if(mContacts, [&](const auto& aEntry) {
    return aNow - aEntry.second.mAddedAt > kRetention;
  });
  std::vector<IpEndpoint> out;
  for (auto& [endpoint, contact] : mContacts) {
    if (aNow >= contact.mNextAt) {
      out.push_back(endpoint);
      contact.mNextAt = aNow + contact.mInterval;
      contact.mInterval = std::min(2 * contact.mInterval, kMaxInterval);
    }
  }
  return out;
}

} // namespace pollenway
