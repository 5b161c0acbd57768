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

/// A hold as it is handed over: with the time that remains, because the two
/// owners' clocks differ. The time on the way makes it last longer, never
/// shorter.
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

/// What an account's old owner hands to the new one.
struct AccountState
{
  double mTokens = 0;
  std::vector<RemainingHold> mHolds{};
  std::optional<Allotment> mCommitted{};
  std::optional<PendingMove> mPending{};
  bool mFenceRequired = false;
  uint64_t mGeneration = 0;
  /// Total of that generation: requests per second and requests at once.
  double mRate = 0;
  double mBurst = 0;
  /// Requests per second of the zone.
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
