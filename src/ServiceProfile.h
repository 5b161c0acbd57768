#pragma once

#include "Ids.h"
#include "Time.h"

#include <string>

namespace pollenway {

/// Properties shared by all targets of a service.
struct ServiceProfile
{
  ServiceName mName;
  std::string mHealthPath;
  /// Maximum number of connections that one target accepts from all callers
  /// together.
  unsigned mMaxConnections = 650;
  /// Time for which a target is cold after its start.
  Duration mColdStart{};
  /// Requests per second that a cold target accepts from all callers
  /// together; 0 if there is no limit.
  double mColdRate = 0;

  bool operator==(const ServiceProfile&) const = default;
};

} // namespace pollenway
