#pragma once

#include "Ids.h"
#include "PeerBodies.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace pollenway {

/// The withdrawn keys known to an instance. Grows by merging the sets of peers.
/// A key is removed only after its record has left an accepted configuration;
/// then `KeyTable` no longer knows the key either.
class WithdrawalSet
{
public:
  /// Withdraws a key. Returns true if it was not withdrawn before. Accepts any
  /// id, also one whose record this instance has not received yet.
  bool Add(const KeyId& aKey);

  /// Adds the withdrawals of a peer. Returns the keys that were added.
  std::vector<KeyId> Merge(const std::vector<peer::Withdrawal>& aOthers);

  /// Called when a configuration with records of exactly `aKeys` was accepted.
  void OnConfiguration(uint64_t aGeneration, const std::set<KeyId>& aKeys);

  bool IsWithdrawn(const KeyId& aKey) const { return mKeys.contains(aKey); }

  std::vector<peer::Withdrawal> All() const;

  uint32_t Count() const { return uint32_t(mKeys.size()); }
  /// Equal on two instances if their sets of keys are equal.
  uint64_t Hash() const { return mHash; }

  /// A process that has just started may lack withdrawals. It must admit no
  /// key until it has received the withdrawals of a synchronised peer or has
  /// read the store.
  bool IsSynchronised() const { return mIsSynchronised; }
  void MarkSynchronised() { mIsSynchronised = true; }

private:
  void Insert(const KeyId& aKey, uint64_t aSeenInGeneration);

  /// Maps a key to the highest generation known to have its record; 0 if none.
  std::map<KeyId, uint64_t> mKeys;
  uint64_t mHash = 0;
  uint64_t mGeneration = 0;
  std::set<KeyId> mConfiguredKeys;
  bool mIsSynchronised = false;
};

} // namespace pollenway
