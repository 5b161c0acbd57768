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

/// Longest-prefix match from an address to the client block that contains it
/// and the block's region. Changed in place, block by block.
class ClientBlockTable
{
public:
  struct Match
  {
    IpPrefix mBlock;
    BlockRegion mRegion{};
  };

  /// Inserts the block or replaces its region. Fails with OutOfRange after
  /// 65,535 different region names. Returns whether anything changed.
  Result<bool> Insert(const IpPrefix& aBlock, const RegionName& aRegion);

  /// Returns whether there was such a block.
  bool Remove(const IpPrefix& aBlock);

  /// The longest block that contains the address.
  std::optional<Match> Find(const IpAddress& aAddress) const;

  const RegionName& NameOf(BlockRegion aRegion) const
  {
    return mRegions[size_t(aRegion)];
  }
  /// All regions named so far, by number. Only ever grows.
  const std::vector<RegionName>& Regions() const { return mRegions; }

  /// Number of blocks.
  size_t Size() const { return mSize; }
  /// Memory in bytes.
  size_t Bytes() const;

private:
  template<size_t KeyBytes>
  using TableSet =
    std::array<std::unique_ptr<PrefixLengthTable<KeyBytes>>, 129>;

  /// Calls the action with the table of the length, which may be null.
  template<typename Self, typename Action>
  static auto WithTable(Self& aSelf,
                        IpFamily aFamily,
                        unsigned aLength,
                        Action&& aAction);
  void UpdateLengths(IpFamily aFamily, unsigned aLength, bool aIsUsed);

  // Short keys keep short prefixes small: 6 bytes a slot for IPv4.
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
