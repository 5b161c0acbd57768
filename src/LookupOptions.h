#pragma once

#include "Ids.h"

namespace pollenway {

struct LookupOptions
{
  InstanceName mSelf;
  ZoneName mZone;
  /// Requests/s expected of an unknown client block's answer.
  double mDefaultRate = 1;
  /// An instance gets at most this multiple of its zone's mean assigned load,
  /// plus the load of four answers.
  double mLoadBound = 1.25;
};

} // namespace pollenway
