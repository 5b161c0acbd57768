#pragma once

#include <map>
#include <string>
#include <vector>

namespace pollenway {

/// What the callers of one workspace send.
struct WorkspacePlan
{
  std::string mName;
  /// Tenant key; if empty, no Authorization header is sent.
  std::string mKey;
  /// Entitlement: rate in tokens/s and burst in tokens.
  double mRate = 50;
  double mBurst = 20;
  /// Requests/s to send.
  double mLoad = 45;
  /// Shares by operation name; if not empty, they replace those of the
  /// operations.
  std::map<std::string, double> mShares;
  /// Local addresses of the callers; if empty, the system chooses.
  std::vector<std::string> mSources;
};

} // namespace pollenway
