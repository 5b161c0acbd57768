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

/// Collects the state and metrics of an instance's services for the admin port.
/// The output contains no keys and no digests of keys. Both formats are
/// described in docs/operator/state-dump.md.
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

  /// Returns the answer to `GET /state`.
  nlohmann::json State(TimePoint aNow);
  /// Returns the answer to `GET /metrics` in the text exposition format.
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

/// Returns an array with one entry for each zone: "zone", "members", and
/// "confirmed", the number of members that have confirmed the set of withdrawn
/// keys of this instance.
nlohmann::json WithdrawalReportJson(const MembershipTable& aTable);

} // namespace pollenway
