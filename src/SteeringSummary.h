#pragma once

#include "Ids.h"
#include "ShareView.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace pollenway {

/// Commitments towards one zone, in requests/s.
struct ZoneCommitment
{
  ZoneName mZone;
  /// Promised by unexpired answers.
  double mCommitted = 0;
  /// Headroom that the sender asks to borrow; 0 in a zone's summary.
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
  /// What look-ups of the last TTL asked for whose first choice it is.
  double mFirstChoice = 0;
  /// What look-ups of the last TTL asked for after another region refused.
  double mSpilled = 0;
  /// Headroom that the sender owns, before loans.
  double mBudget = 0;
  /// Admission shares in force at the sender, in [0, 1].
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

/// The part of a heartbeat that steering needs. Within a zone it describes the
/// sender; to other zones it carries the sums over the sender's zone.
struct SteeringSummary
{
  ShareMember mSender;
  ZoneName mZone;
  /// View of the sender's zone that the sender has confirmed; 0 if none.
  uint64_t mConfirmedView = 0;
  /// Whether the sender owns its full share of headroom. Others don't follow
  /// the admission shares of a sender that has just started.
  bool mIsReady = false;
  std::vector<ZoneCommitment> mZones; ///< Without entries that are 0.
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

/// Headroom of a zone that the receiver may use for the loan lifetime.
struct HeadroomLoan
{
  ZoneName mZone;
  /// Requests/s.
  double mRate = 0;

  static auto Fields(auto& aSelf) { return std::tie(aSelf.mZone, aSelf.mRate); }
};

} // namespace pollenway
