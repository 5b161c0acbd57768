#include "KeyTable.h"

#include "Inventory.h"
#include "Sha256.h"
#include "WithdrawalSet.h"

#include <openssl/crypto.h>

namespace pollenway {

KeyTable::KeyTable(const Inventory& aInventory)
{
  for (const auto& it : aInventory.mKeys) {
    mByDigest[it.mDigest] = { it.mId, it.mWorkspace, it.mWithdrawn };
  }
}

Result<WorkspaceName> KeyTable::Authenticate(
  std::string_view aKey,
  const WithdrawalSet& aWithdrawals) const
{
  if (aKey.empty()) {
    return Error{ ResultCode::MissingKey, "the request has no key", {} };
  }
  // The time of the look-up depends only on the digest, which reveals nothing
  // about a valid key. The comparison itself takes constant time.
  const std::string digest = Sha256Hex(aKey);
  const auto it = mByDigest.find(digest);
  if (it == mByDigest.end() || it->first.size() != digest.size() ||
      CRYPTO_memcmp(it->first.data(), digest.data(), digest.size()) != 0) {
    return Error{ ResultCode::UnknownKey, "the key is not known", {} };
  }
  if (it->second.mWithdrawn || aWithdrawals.IsWithdrawn(it->second.mId)) {
    return Error{ ResultCode::WithdrawnKey, "the key is withdrawn", {} };
  }
  return it->second.mWorkspace;
}

std::set<KeyId> KeyTable::Ids() const
{
  std::set<KeyId> out;
  for (const auto& [digest, entry] : mByDigest) {
    out.insert(entry.mId);
  }
  return out;
}

} // namespace pollenway
