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

/// Tenant keys of a configuration by digest. Never holds a key itself.
class KeyTable
{
public:
  KeyTable() = default;
  explicit KeyTable(const Inventory& aInventory);

  /// The workspace whose key this is. Errors: MissingKey if it is empty,
  /// UnknownKey, WithdrawnKey if the configuration or `aWithdrawals` says so.
  Result<WorkspaceName> Authenticate(std::string_view aKey,
                                     const WithdrawalSet& aWithdrawals) const;

  /// The ids of all keys, for `WithdrawalSet::OnConfiguration`.
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
