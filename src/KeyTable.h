#pragma once

#include "Ids.h"
#include "Result.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pollenway {

class Inventory;
class WithdrawalSet;

/// The tenant keys of a configuration by their digests. Never holds a key
/// itself.
class KeyTable
{
public:
  KeyTable() = default;
  explicit KeyTable(const Inventory& aInventory);

  /// Returns the workspace of the key. Errors: MissingKey if the key is empty,
  /// UnknownKey, WithdrawnKey if it is withdrawn in the configuration or in
  /// `aWithdrawals`.
  Result<WorkspaceName> Authenticate(std::string_view aKey,
                                     const WithdrawalSet& aWithdrawals) const;

  /// Returns the ids of all keys, for `WithdrawalSet::OnConfiguration`.
  std::set<KeyId> Ids() const;

private:
  struct Entry
  {
    KeyId mId;
    WorkspaceName mWorkspace;
    bool mWithdrawn = false;
  };
  std::unordered_map<std::string, Entry> mByDigest;
};

} // namespace pollenway
