#pragma once

#include "ShareView.h"
#include "Time.h"

namespace pollenway {

struct HeadroomOptions
{
  ShareMember mSelf;
  ZoneName mZone;
  /// Longest TTL of an answer and lifetime of a loan; at most 60 s.
  Duration mMaxLifetime = std::chrono::seconds(15);
  /// Part of the capacity that is not promised before a load is accepted.
  double mUnmeasuredReserve = 0.5;
};

} // namespace pollenway
