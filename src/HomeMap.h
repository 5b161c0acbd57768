#pragma once

#include "Ids.h"
#include "Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Number of home partitions. Must not change: with another number, keys would
/// move to other partitions.
constexpr unsigned kHomePartitions = 256;

/// The zone that keeps the idempotency records of one partition.
struct PartitionHome
{
  ZoneName mZone;
  /// First view of the zone that has records. Requests executed in earlier
  /// views are unknown to this home.
  uint64_t mRecordsSince = 0;
  /// Number of moves by an operator after a loss of records; 0 if no records
  /// were lost.
  uint64_t mMoves = 0;

  bool operator==(const PartitionHome&) const = default;
};

/// A zone to which partitions are assigned, and its current view number (0 if
/// it has no view yet).
struct HomeZone
{
  ZoneName mZone;
  uint64_t mViewNumber = 0;
};

/// Content of the store object `homemap/current`. Once created, it is changed
/// only by an operator's command.
struct HomeMap
{
  /// Incremented by each change.
  uint64_t mVersion = 0;
  /// `kHomePartitions` entries; empty if there is no map yet.
  std::vector<PartitionHome> mPartitions;

  bool operator==(const HomeMap&) const = default;
};

/// Creates the first map. Partitions are spread evenly over the zones, in order
/// of name.
HomeMap CreateHomeMap(std::vector<HomeZone> aZones);

/// Returns the map after all partitions of the lost zone `aFrom` were moved,
/// evenly to the zones in `aTo`. Each zone in `aTo` has its current view
/// number. `aTo` may contain `aFrom`, which declares the zone's records lost.
HomeMap MoveHomes(const HomeMap& aMap,
                  const ZoneName& aFrom,
                  std::vector<HomeZone> aTo);

/// Returns the JSON text of the store object.
std::string HomeMapToJson(const HomeMap& aMap);

/// Parses the store object. Errors: SyntaxError, MissingField, WrongType,
/// OutOfRange.
Result<HomeMap> HomeMapFromJson(std::string_view aText);

} // namespace pollenway
