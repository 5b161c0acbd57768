#pragma once

#include "ShareView.h"
#include "Time.h"

namespace pollenway {

struct HeadroomOptions
{
  ShareMember mSelf;
  ZoneName mZone;
  /// Maximum TTL of an answer and lifetime of a loan; at most 60 s.
  Duration mMaxLifetime = std::chrono::seconds(15);
  /// Fraction of the capacity that is not committed before the first load
  /// measurement is accepted.
  double mUnmeasuredReserve = 0.5;
};

} // namespace pollenway
