#include "RoutingTable.h"

#include "Sha256.h"

#include <algorithm>

namespace pollenway {

RoutingTable::RoutingTable(Parts aParts)
  : mParts(std::move(aParts))
{
  for (const auto& it : mParts.mRules) {
    mByHost[it.mHost].push_back(&it);
  }
  for (auto& [host, rules] : mByHost) {
    std::stable_sort(
      rules.begin(), rules.end(), [](const auto* aLeft, const auto* aRight) {
        return aLeft->mPathPrefix.size() > aRight->mPathPrefix.size();
      });
  }
  for (const auto& it : mParts.mServices) {
    mServices.emplace(it.mName, &it);
  }
  for (const auto& it : mParts.mWorkspaces) {
    for (const auto& digest : it.mKeyDigests) {
      mByKeyDigest.emplace(digest, &it);
    }
  }
}

const RoutingRule* RoutingTable::Match(std::string_view aHost,
                                       std::string_view aPath) const
{
  const auto rules = mByHost.find(std::string(aHost));
  if (rules == mByHost.end()) {
    return nullptr;
  }
  for (const auto* it : rules->second) {
    if (aPath.starts_with(it->mPathPrefix)) {
      return it;
    }
  }
  return nullptr;
}

const ServiceProfile* RoutingTable::FindService(const ServiceName& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : it->second;
}

Result<const WorkspaceGrant*> RoutingTable::Authenticate(
  std::string_view aKey) const
{
  if (mParts.mWorkspaces.empty()) {
    return nullptr;
  }
  if (aKey.empty()) {
    return Error{ ResultCode::MissingKey, "the request has no key", {} };
  }
  const auto it = mByKeyDigest.find(Sha256Hex(aKey));
  if (it == mByKeyDigest.end()) {
    return Error{ ResultCode::UnknownKey, "no workspace has this key", {} };
  }
  return it->second;
}

} // namespace pollenway
