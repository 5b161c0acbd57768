#pragma once

#include "Ids.h"

namespace pollenway {

struct LookupOptions
{
  InstanceName mSelf;
  ZoneName mZone;
  /// Requests/s assumed per answer to an unknown client block.
  double mDefaultRate = 1;
  /// Bound on the load assigned to an instance, as a multiple of the mean in
  /// its zone. The load of four answers may be added to it.
  double mLoadBound = 1.25;
};

} // namespace pollenway
