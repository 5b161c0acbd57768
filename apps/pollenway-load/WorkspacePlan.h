#pragma once

#include <map>
#include <string>
#include <vector>

namespace pollenway {

/// What the callers of one workspace send.
struct WorkspacePlan
{
  std::string mName;
  /// Tenant key; without one no Authorization is sent.
  std::string mKey;
  /// Entitlement: tokens a second and bucket depth.
  double mRate = 50;
  double mBurst = 20;
  /// Requests a second that are sent.
  double mLoad = 45;
  /// Shares by operation name that replace those of the operations.
  std::map<std::string, double> mShares;
  /// Local addresses of the callers; none lets the system choose.
  std::vector<std::string> mSources;
};

} // namespace pollenway
