#pragma once

#include "BackendDispatcher.h"
#include "CallerFrontend.h"
#include "HomeService.h"
#include "LimitService.h"
#include "MembershipService.h"
#include "PeerTransport.h"
#include "StoreClient.h"
#include "TargetMonitor.h"

#include <nlohmann/json_fwd.hpp>

namespace pollenway {

/// Collects what an instance's services know, for the admin port. Shows no key
/// and no digest. docs/operator/state-dump.md describes both forms.
class StateDump
{
public:
  struct Sources
  {
    const FleetState& mFleet;
    const MembershipService& mMembership;
    LimitService& mLimits;
    const HomeService& mHomes;
    BackendDispatcher& mDispatcher;
    const TargetMonitor& mTargets;
    const CallerFrontend& mFrontend;
    const StoreClient& mStore;
    const PeerTransport& mTransport;
  };

  explicit StateDump(Sources aSources);

  /// The answer to `GET /state`.
  nlohmann::json State(TimePoint aNow);
  /// The answer to `GET /metrics`, as text exposition.
  std::string Metrics() const;

private:
  nlohmann::json Zones() const;
  nlohmann::json Membership() const;
  nlohmann::json Accounts();
  nlohmann::json Homes() const;
  nlohmann::json OwnedTargets(TimePoint aNow);
  nlohmann::json Services(TimePoint aNow) const;
  nlohmann::json Shifts() const;
  nlohmann::json Withdrawals() const;
  nlohmann::json StoreCalls() const;
  nlohmann::json Peers() const;

  Sources mSources;
};

/// One entry for each zone: "zone", "members", and "confirmed", the number of
/// members that are known to hold the same withdrawn keys as this instance.
nlohmann::json WithdrawalReportJson(const MembershipTable& aTable);

} // namespace pollenway
