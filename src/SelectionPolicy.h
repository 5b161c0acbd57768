#pragma once

#include "Random.h"
#include "TargetAssessment.h"

#include <concepts>
#include <span>

namespace pollenway {

/// Selects one target from a non-empty list of equally near ones and returns
/// its index. If `kUsesLoad` is true, targets without free slots are excluded
/// beforehand.
template<typename P>
concept SelectionPolicy =
  requires(std::span<const TargetAssessment* const> aFrom, Random& aRandom)
{
  {
    P::Choose(aFrom, aRandom)
    } -> std::convertible_to<size_t>;
  {
    P::kUsesLoad
    } -> std::convertible_to<bool>;
};

/// Selects the less loaded, relative to its slots, of two targets drawn at
/// random.
struct LeastOutstandingOfTwo
{
  static constexpr bool kUsesLoad = true;

  static size_t Choose(std::span<const TargetAssessment* const> aFrom,
                       Random& aRandom)
  {
    const size_t first = aRandom.Below(aFrom.size());
    if (aFrom.size() == 1) {
      return first;
    }
    size_t second = aRandom.Below(aFrom.size() - 1);
    second += second >= first ? 1 : 0;
    return aFrom[second]->mRelativeLoad < aFrom[first]->mRelativeLoad ? second
                                                                      : first;
  }
};

/// Selects a random target regardless of its load. Serves as a baseline.
struct RandomTarget
{
  static constexpr bool kUsesLoad = false;

  static size_t Choose(std::span<const TargetAssessment* const> aFrom,
                       Random& aRandom)
  {
    return aRandom.Below(aFrom.size());
  }
};

} // namespace pollenway
