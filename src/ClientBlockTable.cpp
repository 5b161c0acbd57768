#include "ClientBlockTable.h"

#include "Assert.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr uint16_t kFree = PrefixLengthTable<4>::kFree;
constexpr unsigned kShortLength = 48;
constexpr unsigned kMediumLength = 64;

using WideKey = PrefixLengthTable<16>::Key;

uint64_t NarrowKeyOf(const IpAddress& aAddress, unsigned aLength)
{
  return aLength == 0 ? 0 : aAddress.High() >> (64 - aLength);
}

WideKey WideKeyOf(const IpAddress& aAddress, unsigned aLength)
{
  return (WideKey(aAddress.High()) << 64 | aAddress.Low()) >> (128 - aLength);
}

/// Returns the first `aLength` bits of the address as a key of the table.
template<size_t KeyBytes>
auto KeyOf(const PrefixLengthTable<KeyBytes>&,
           const IpAddress& aAddress,
           unsigned aLength)
{
  if constexpr (KeyBytes > sizeof(uint64_t)) {
    return WideKeyOf(aAddress, aLength);
  } else {
    return NarrowKeyOf(aAddress, aLength);
  }
}

} // namespace

template<typename Self, typename Action>
auto ClientBlockTable::WithTable(Self& aSelf,
                                 IpFamily aFamily,
                                 unsigned aLength,
                                 Action&& aAction)
{
  if (aFamily == IpFamily::V4) {
    return aAction(aSelf.mV4[aLength]);
  }
  if (aLength <= kShortLength) {
    return aAction(aSelf.mV6Short[aLength]);
  }
  if (aLength <= kMediumLength) {
    return aAction(aSelf.mV6Medium[aLength]);
  }
  return aAction(aSelf.mV6Long[aLength]);
}

void ClientBlockTable::UpdateLengths(IpFamily aFamily,
                                     unsigned aLength,
                                     bool aIsUsed)
{
  auto& lengths = aFamily == IpFamily::V4 ? mV4Lengths : mV6Lengths;
  const auto it = std::lower_bound(
    lengths.begin(), lengths.end(), aLength, std::greater<unsigned>());
  if (aIsUsed) {
    lengths.insert(it, uint8_t(aLength));
  } else {
    lengths.erase(it);
  }
}

Result<bool> ClientBlockTable::Insert(const IpPrefix& aBlock,
                                      const RegionName& aRegion)
{
  const auto added =
    mRegionNumbers.try_emplace(aRegion, uint16_t(mRegions.size()));
  if (added.second) {
    if (mRegions.size() >= kFree) {
      mRegionNumbers.erase(added.first);
      return Error{ .mCode = ResultCode::OutOfRange,
                    .mDetail = "too many regions in the client blocks",
                    .mPath = {} };
    }
    mRegions.push_back(aRegion);
  }
  const uint16_t number = added.first->second;
  const IpFamily family = aBlock.Address().Family();
  const unsigned length = aBlock.Length();
  const uint16_t old =
    WithTable(*this, family, length, [&](auto& aTable) -> uint16_t {
      if (!aTable) {
        aTable = std::make_unique<std::decay_t<decltype(*aTable)>>();
        UpdateLengths(family, length, true);
      }
      return aTable->Set(KeyOf(*aTable, aBlock.Address(), length), number);
    });
  mSize += old == kFree;
  return old != number;
}

bool ClientBlockTable::Remove(const IpPrefix& aBlock)
{
  const IpFamily family = aBlock.Address().Family();
  const unsigned length = aBlock.Length();
  const bool removed =
    WithTable(*this, family, length, [&](auto& aTable) -> bool {
      if (!aTable ||
          aTable->Erase(KeyOf(*aTable, aBlock.Address(), length)) == kFree) {
        return false;
      }
      if (aTable->Size() == 0) {
        aTable.reset();
        UpdateLengths(family, length, false);
      }
      return true;
    });
  mSize -= removed;
  return removed;
}

std::optional<ClientBlockTable::Match> ClientBlockTable::Find(
  const IpAddress& aAddress) const
{
  const IpFamily family = aAddress.Family();
  const auto& lengths = family == IpFamily::V4 ? mV4Lengths : mV6Lengths;
  // Prefetches the slots of all lengths in parallel. Without this, a look-up in
  // a table larger than the CPU cache waits for one memory access per length.
  std::array<uint64_t, 129> hashes;
  for (size_t i = 0; i < lengths.size(); ++i) {
    const unsigned length = lengths[i];
    hashes[i] = WithTable(*this, family, length, [&](const auto& aTable) {
      const uint64_t hash = aTable->HashOfKey(KeyOf(*aTable, aAddress, length));
      aTable->Prefetch(hash);
      return hash;
    });
  }
  for (size_t i = 0; i < lengths.size(); ++i) {
    const unsigned length = lengths[i];
    const uint16_t found =
      WithTable(*this, family, length, [&](const auto& aTable) {
        return aTable->Get(KeyOf(*aTable, aAddress, length), hashes[i]);
      });
    if (found != kFree) {
      return Match{ IpPrefix(aAddress, length), BlockRegion(found) };
    }
  }
  return std::nullopt;
}

size_t ClientBlockTable::Bytes() const
{
  size_t n = sizeof *this;
  const auto add = [&n](const auto& aTables) {
    for (const auto& it : aTables) {
      n += it ? it->Bytes() : 0;
    }
  };
  add(mV4);
  add(mV6Short);
  add(mV6Medium);
  add(mV6Long);
  return n;
}

} // namespace pollenway
