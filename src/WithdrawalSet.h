#pragma once

#include "Ids.h"
#include "PeerBodies.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace pollenway {

/// The withdrawn keys known to an instance. Grows by merging what peers know;
/// a key leaves it only after its record has left an accepted configuration,
/// when `KeyTable` no longer knows the key either.
class WithdrawalSet
{
public:
  /// Withdraws a key; true if it was not withdrawn before. Any id is taken,
  /// also one whose record this instance has not received yet.
  bool Add(const KeyId& aKey);

  /// Merges what a peer holds. Returns the keys that are new here.
  std::vector<KeyId> Merge(const std::vector<peer::Withdrawal>& aOthers);

  /// A configuration has been accepted that has records of exactly `aKeys`.
  void OnConfiguration(uint64_t aGeneration, const std::set<KeyId>& aKeys);

  bool IsWithdrawn(const KeyId& aKey) const { return mKeys.contains(aKey); }

  std::vector<peer::Withdrawal> All() const;

  uint32_t Count() const { return uint32_t(mKeys.size()); }
  /// Equal on two instances if the sets of keys are equal.
  uint64_t Hash() const { return mHash; }

  /// A process that has just started may lack withdrawals. It must admit no
  /// key until it has heard from a synchronised peer or has read the store.
  bool IsSynchronised() const { return mIsSynchronised; }
  void MarkSynchronised() { mIsSynchronised = true; }

private:
  void Insert(const KeyId& aKey, uint64_t aSeenInGeneration);

  /// Key to the highest generation known to have its record; 0 if none.
  std::map<KeyId, uint64_t> mKeys;
  uint64_t mHash = 0;
  uint64_t mGeneration = 0;
  std::set<KeyId> mConfiguredKeys;
  bool mIsSynchronised = false;
};

} // namespace pollenway
