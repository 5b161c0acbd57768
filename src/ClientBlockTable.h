#pragma once

#include "Ids.h"
#include "IpPrefix.h"
#include "PrefixLengthTable.h"

#include <array>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenway {

/// Number of a region within one `ClientBlockTable`.
enum class BlockRegion : uint16_t
{
};

/// Maps an address to its client block and region by longest-prefix match.
/// Blocks are inserted and removed in place.
class ClientBlockTable
{
public:
  struct Match
  {
    IpPrefix mBlock;
    BlockRegion mRegion{};
  };

  /// Inserts the block or replaces its region. Returns true if the table
  /// changed. Fails with OutOfRange after 65,535 different region names.
  Result<bool> Insert(const IpPrefix& aBlock, const RegionName& aRegion);

  /// Removes the block. Returns false if it is not in the table.
  bool Remove(const IpPrefix& aBlock);

  /// Returns the block with the longest prefix that contains the address.
  std::optional<Match> Find(const IpAddress& aAddress) const;

  const RegionName& NameOf(BlockRegion aRegion) const
  {
    return mRegions[size_t(aRegion)];
  }
  /// Returns all regions inserted so far, by number. Removing blocks does not
  /// remove their regions.
  const std::vector<RegionName>& Regions() const { return mRegions; }

  /// Number of blocks.
  size_t Size() const { return mSize; }
  /// Returns the memory used in bytes.
  size_t Bytes() const;

private:
  template<size_t KeyBytes>
  using TableSet =
    std::array<std::unique_ptr<PrefixLengthTable<KeyBytes>>, 129>;

  /// Calls the action with the table for prefixes of the length, which may be
  /// null.
  template<typename Self, typename Action>
  static auto WithTable(Self& aSelf,
                        IpFamily aFamily,
                        unsigned aLength,
                        Action&& aAction);
  void UpdateLengths(IpFamily aFamily, unsigned aLength, bool aIsUsed);

  // Key sizes match the prefix lengths to save memory: an IPv4 slot takes 6
  // bytes.
  TableSet<4> mV4;
  TableSet<6> mV6Short;  ///< Lengths up to 48.
  TableSet<8> mV6Medium; ///< Lengths up to 64.
  TableSet<16> mV6Long;
  /// Lengths in use, longest first.
  std::vector<uint8_t> mV4Lengths;
  std::vector<uint8_t> mV6Lengths;
  std::vector<RegionName> mRegions;
  std::unordered_map<RegionName, uint16_t> mRegionNumbers;
  size_t mSize = 0;
};

} // namespace pollenway
