#pragma once

#include "Random.h"
#include "TargetAssessment.h"

#include <concepts>
#include <span>

namespace pollenway {

/// Chooses one of at least one equally near targets; returns its index.
/// `kUsesLoad` says whether targets without room are left out beforehand.
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

/// The less loaded, relative to its slots, of two targets drawn at random.
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

/// Baseline: any target, whatever its load.
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
