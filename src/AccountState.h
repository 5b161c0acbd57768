#pragma once

#include "Allotment.h"
#include "ShareBalancer.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace pollenway {

/// A hold in a handover. It contains the remaining time because the clocks of
/// the two owners differ. The transit time can only extend the hold, never
/// shorten it.
struct RemainingHold
{
  Duration mRemaining{};
  double mAmount = 0;
  std::string mHolder{};
  uint64_t mRequest = 0;

  static auto Fields(auto& aSelf)
  {
    return std::tie(
      aSelf.mRemaining, aSelf.mAmount, aSelf.mHolder, aSelf.mRequest);
  }
};

/// The state of an account that the old owner hands over to the new one.
struct AccountState
{
  double mTokens = 0;
  std::vector<RemainingHold> mHolds{};
  std::optional<Allotment> mCommitted{};
  std::optional<PendingMove> mPending{};
  bool mFenceRequired = false;
  uint64_t mGeneration = 0;
  /// Total rate (requests/s) and burst (requests) of that generation.
  double mRate = 0;
  double mBurst = 0;
  /// Demand of the zone in requests/s.
  double mDemand = 0;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mTokens,
                    aSelf.mHolds,
                    aSelf.mCommitted,
                    aSelf.mPending,
                    aSelf.mFenceRequired,
                    aSelf.mGeneration,
                    aSelf.mRate,
                    aSelf.mBurst,
                    aSelf.mDemand);
  }
};

} // namespace pollenway
