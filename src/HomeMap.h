#pragma once

#include "Ids.h"
#include "Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Number of home partitions. Fixed: another number would move keys.
constexpr unsigned kHomePartitions = 256;

/// Where the idempotency records of one partition are kept.
struct PartitionHome
{
  ZoneName mZone;
  /// First view of the zone whose runs have records; what ran before is not
  /// known to this home.
  uint64_t mRecordsSince = 0;
  /// Moves by an operator after a loss of records. 0: none were ever lost.
  uint64_t mMoves = 0;

  bool operator==(const PartitionHome&) const = default;
};

/// A zone and the number of its view, 0 if it has none yet.
struct HomeZone
{
  ZoneName mZone;
  uint64_t mViewNumber = 0;
};

/// The store object `homemap/current`. Changes only by an operator's command.
struct HomeMap
{
  /// Grows by one with each change.
  uint64_t mVersion = 0;
  /// `kHomePartitions` entries; empty if there is no map yet.
  std::vector<PartitionHome> mPartitions;

  bool operator==(const HomeMap&) const = default;
};

/// The first map: partitions spread evenly over the zones, in order of name.
HomeMap CreateHomeMap(std::vector<HomeZone> aZones);

/// The map after all partitions of a lost zone have moved, spread evenly over
/// `aTo`, which names each zone with its present view. A zone may be its own
/// successor: that declares its records lost.
HomeMap MoveHomes(const HomeMap& aMap,
                  const ZoneName& aFrom,
                  std::vector<HomeZone> aTo);

/// JSON text of the store object.
std::string HomeMapToJson(const HomeMap& aMap);

/// Errors: SyntaxError, MissingField, WrongType, OutOfRange.
Result<HomeMap> HomeMapFromJson(std::string_view aText);

} // namespace pollenway
