#pragma once

#include "CallerLimits.h"
#include "Result.h"
#include "RoutingRule.h"
#include "ServiceProfile.h"
#include "WorkspaceGrant.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// One version of the configuration by which an instance forwards requests.
/// Immutable after construction.
class RoutingTable
{
public:
  struct Parts
  {
    uint64_t mVersion = 0;
    std::vector<RoutingRule> mRules;
    std::vector<ServiceProfile> mServices;
    std::vector<WorkspaceGrant> mWorkspaces;
    CallerLimits mLimits;
  };

  explicit RoutingTable(Parts aParts);
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;

  uint64_t Version() const { return mParts.mVersion; }
  const CallerLimits& Limits() const { return mParts.mLimits; }
  const std::vector<RoutingRule>& Rules() const { return mParts.mRules; }
  const std::vector<WorkspaceGrant>& Workspaces() const
  {
    return mParts.mWorkspaces;
  }

  /// Returns the rule of `aHost` with the longest path prefix that matches
  /// `aPath`, or null if there is none. `aPath` may include a query.
  const RoutingRule* Match(std::string_view aHost,
                           std::string_view aPath) const;
  const ServiceProfile* FindService(const ServiceName& aName) const;
  /// Returns the workspace that a key belongs to, or null if the table has no
  /// workspaces at all. Errors: MissingKey if the key is empty, UnknownKey if
  /// it belongs to no workspace.
  Result<const WorkspaceGrant*> Authenticate(std::string_view aKey) const;

private:
  Parts mParts;
  /// Rules of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const RoutingRule*>> mByHost;
  std::unordered_map<ServiceName, const ServiceProfile*> mServices;
  std::unordered_map<std::string, const WorkspaceGrant*> mByKeyDigest;
};

} // namespace pollenway
