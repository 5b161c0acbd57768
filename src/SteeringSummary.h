#pragma once

#include "Ids.h"
#include "ShareView.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace pollenway {

/// Commitments for one zone, in requests/s.
struct ZoneCommitment
{
  ZoneName mZone;
  /// Committed by answers that have not expired.
  double mCommitted = 0;
  /// Headroom that the sender requests to borrow; 0 in a summary of a zone.
  double mWanted = 0;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mZone, aSelf.mCommitted, aSelf.mWanted);
  }
};

/// Demand for one region, in requests/s.
struct RegionDemand
{
  RegionName mRegion;
  /// Demand by the look-ups of the last TTL whose first choice is this region.
  double mFirstChoice = 0;
  /// Demand by the look-ups of the last TTL that another region refused.
  double mSpilled = 0;
  /// Headroom owned by the sender, not counting loans.
  double mBudget = 0;
  /// Admission shares used by the sender, in [0, 1].
  double mFirstChoiceShare = 1;
  double mSpilledShare = 1;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mRegion,
                    aSelf.mFirstChoice,
                    aSelf.mSpilled,
                    aSelf.mBudget,
                    aSelf.mFirstChoiceShare,
                    aSelf.mSpilledShare);
  }
};

/// Steering data sent in a heartbeat. Within a zone it describes the sender;
/// for other zones it holds the sums over the sender's zone.
struct SteeringSummary
{
  ShareMember mSender;
  ZoneName mZone;
  /// Number of the last view of its zone that the sender has confirmed; 0 if
  /// none.
  uint64_t mConfirmedView = 0;
  /// True if the sender owns its full share of headroom. Peers don't adopt the
  /// admission shares of a sender that has just started.
  bool mIsReady = false;
  std::vector<ZoneCommitment> mZones; ///< Omits zones whose values are all 0.
  std::vector<RegionDemand> mRegions; ///< All regions.

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mSender,
                    aSelf.mZone,
                    aSelf.mConfirmedView,
                    aSelf.mIsReady,
                    aSelf.mZones,
                    aSelf.mRegions);
  }
};

/// Headroom of a zone that the receiver may use for the lifetime of the loan.
struct HeadroomLoan
{
  ZoneName mZone;
  /// Requests/s.
  double mRate = 0;

  static auto Fields(auto& aSelf) { return std::tie(aSelf.mZone, aSelf.mRate); }
};

} // namespace pollenway
