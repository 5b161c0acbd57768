#include "WithdrawalSet.h"

#include "HashOf.h"

#include <algorithm>

namespace pollenway {

void WithdrawalSet::Insert(const KeyId& aKey, uint64_t aSeenInGeneration)
{
  mKeys.emplace(aKey, aSeenInGeneration);
  mHash ^= HashOf({ aKey.Text() });
}

bool WithdrawalSet::Add(const KeyId& aKey)
{
  if (mKeys.contains(aKey)) {
    return false;
  }
  Insert(aKey, mConfiguredKeys.contains(aKey) ? mGeneration : 0);
  return true;
}

std::vector<KeyId> WithdrawalSet::Merge(
  const std::vector<peer::Withdrawal>& aOthers)
{
  std::vector<KeyId> added;
  for (const auto& it : aOthers) {
    const bool isConfigured = mConfiguredKeys.contains(it.mKey);
    const uint64_t seen = isConfigured
                            ? std::max(mGeneration, it.mSeenInGeneration)
                            : it.mSeenInGeneration;
    if (const auto known = mKeys.find(it.mKey); known != mKeys.end()) {
      known->second = std::max(known->second, seen);
    } else if (isConfigured || seen == 0 || seen > mGeneration) {
      Insert(it.mKey, seen);
      added.push_back(it.mKey);
    }
    // Otherwise the configuration of this instance no longer has the key's
    // record; a peer with an older configuration still holds the withdrawal.
  }
  return added;
}

void WithdrawalSet::OnConfiguration(uint64_t aGeneration,
                                    const std::set<KeyId>& aKeys)
{
  mGeneration = aGeneration;
  mConfiguredKeys = aKeys;
  for (auto it = mKeys.begin(); it != mKeys.end();) {
    if (aKeys.contains(it->first)) {
      it->second = std::max(it->second, aGeneration);
      ++it;
    } else if (it->second != 0 && it->second < aGeneration) {
      mHash ^= HashOf({ it->first.Text() });
      it = mKeys.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<peer::Withdrawal> WithdrawalSet::All() const
{
  std::vector<peer::Withdrawal> out;
  out.reserve(mKeys.size());
  for (const auto& [key, generation] : mKeys) {
    out.push_back({ key, generation });
  }
  return out;
}

} // namespace pollenway
