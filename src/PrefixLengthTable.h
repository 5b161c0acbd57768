#pragma once

#include "MixHash.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>

namespace pollenway {

/// Hash table from address prefixes of one length to 16-bit values. `KeyBytes`
/// (4, 6, 8 or 16) is the stored size of a key.
///
/// Uses open addressing with linear probing in 64 segments that are resized
/// independently. An update rehashes at most one segment, which bounds its
/// latency and the memory needed during a resize.
template<size_t KeyBytes>
class PrefixLengthTable
{
public:
  __extension__ using Wide = unsigned __int128;
  using Key = std::conditional_t<(KeyBytes > 8), Wide, uint64_t>;

  /// Marks a free slot; not a valid value.
  static constexpr uint16_t kFree = 0xffff;

  /// Sets the value of the key. Returns the previous value, or `kFree`.
  uint16_t Set(Key aKey, uint16_t aValue)
  {
    const uint64_t hash = HashOfKey(aKey);
    Segment& segment = mSegments[hash >> 58];
    // At a load factor of 0.8, an unsuccessful search probes about 13 slots
    // (two cache lines). Growing by a half keeps the load factor at 0.53 or
    // more.
    if (uint64_t(segment.mUsed + 1) * 10 > uint64_t(segment.mSlots) * 8) {
      Resize(segment, segment.mSlots + segment.mSlots / 2 + 4);
    }
    const uint32_t n = FindSlot(segment, hash, aKey);
    const uint16_t old = ValueAt(segment, n);
    if (old == kFree) {
      ++segment.mUsed;
      ++mSize;
    }
    Write(segment, n, aKey, aValue);
    return old;
  }

  /// Removes the key. Returns its value, or `kFree` if it is not in the table.
  uint16_t Erase(Key aKey)
  {
    const uint64_t hash = HashOfKey(aKey);
    Segment& segment = mSegments[hash >> 58];
    if (segment.mUsed == 0) {
      return kFree;
    }
    uint32_t hole = FindSlot(segment, hash, aKey);
    const uint16_t old = ValueAt(segment, hole);
    if (old == kFree) {
      return kFree;
    }
    // Moves later entries of the probe sequence back, so that no tombstones are
    // needed.
    for (uint32_t n = Next(segment, hole); ValueAt(segment, n) != kFree;
         n = Next(segment, n)) {
      const uint32_t home = HomeOf(segment, HashOfKey(KeyAt(segment, n)));
      const uint32_t fromHome = Distance(segment, home, n);
      if (fromHome >= Distance(segment, hole, n)) {
        Write(segment, hole, KeyAt(segment, n), ValueAt(segment, n));
        hole = n;
      }
    }
    Write(segment, hole, 0, kFree);
    --segment.mUsed;
    --mSize;
    if (segment.mUsed * 3 < segment.mSlots) {
      Resize(segment, segment.mUsed * 3 / 2 + (segment.mUsed ? 4 : 0));
    }
    return old;
  }

  /// Returns the value of the key, or `kFree`.
  uint16_t Get(Key aKey, uint64_t aHash) const
  {
    const Segment& segment = mSegments[aHash >> 58];
    return segment.mUsed == 0
             ? kFree
             : ValueAt(segment, FindSlot(segment, aHash, aKey));
  }

  /// Prefetches the slot at which the search for the key begins.
  void Prefetch(uint64_t aHash) const
  {
    const Segment& segment = mSegments[aHash >> 58];
    if (segment.mUsed != 0) {
      __builtin_prefetch(&segment.mData[SlotOffset(HomeOf(segment, aHash))]);
    }
  }

  static uint64_t HashOfKey(Key aKey)
  {
    if constexpr (KeyBytes > 8) {
      return MixHash(uint64_t(aKey >> 64), uint64_t(aKey));
    } else {
      return MixHash(aKey);
    }
  }

  size_t Size() const { return mSize; }

  /// Returns the memory used in bytes.
  size_t Bytes() const
  {
    size_t n = sizeof *this;
    for (const auto& it : mSegments) {
      n += size_t(it.mSlots) * kSlotBytes;
    }
    return n;
  }

private:
  static constexpr size_t kSlotBytes = KeyBytes + sizeof(uint16_t);

  struct Segment
  {
    std::unique_ptr<std::byte[]> mData;
    uint32_t mSlots = 0;
    uint32_t mUsed = 0;
  };

  static size_t SlotOffset(uint32_t aSlot) { return aSlot * kSlotBytes; }

  static uint32_t HomeOf(const Segment& aSegment, uint64_t aHash)
  {
    return uint32_t((uint64_t(uint32_t(aHash)) * aSegment.mSlots) >> 32);
  }

  static uint32_t Next(const Segment& aSegment, uint32_t aSlot)
  {
    return aSlot + 1 == aSegment.mSlots ? 0 : aSlot + 1;
  }

  static uint32_t Distance(const Segment& aSegment,
                           uint32_t aFrom,
                           uint32_t aTo)
  {
    return aTo >= aFrom ? aTo - aFrom : aTo + aSegment.mSlots - aFrom;
  }

  static Key KeyAt(const Segment& aSegment, uint32_t aSlot)
  {
    Key key = 0;
    std::memcpy(&key, &aSegment.mData[SlotOffset(aSlot)], KeyBytes);
    return key;
  }

  static uint16_t ValueAt(const Segment& aSegment, uint32_t aSlot)
  {
    uint16_t value;
    std::memcpy(
      &value, &aSegment.mData[SlotOffset(aSlot) + KeyBytes], sizeof value);
    return value;
  }

  static void Write(Segment& aSegment,
                    uint32_t aSlot,
                    Key aKey,
                    uint16_t aValue)
  {
    std::byte* slot = &aSegment.mData[SlotOffset(aSlot)];
    std::memcpy(slot, &aKey, KeyBytes);
    std::memcpy(slot + KeyBytes, &aValue, sizeof aValue);
  }

  /// Returns the slot of the key, or the free slot at which the search ends.
  static uint32_t FindSlot(const Segment& aSegment, uint64_t aHash, Key aKey)
  {
    uint32_t n = HomeOf(aSegment, aHash);
    while (ValueAt(aSegment, n) != kFree && KeyAt(aSegment, n) != aKey) {
      n = Next(aSegment, n);
    }
    return n;
  }

  static void Resize(Segment& aSegment, uint32_t aSlots)
  {
    Segment grown;
    grown.mSlots = aSlots;
    grown.mUsed = aSegment.mUsed;
    if (aSlots > 0) {
      grown.mData = std::make_unique<std::byte[]>(aSlots * kSlotBytes);
      for (uint32_t i = 0; i < aSlots; ++i) {
        Write(grown, i, 0, kFree);
      }
    }
    for (uint32_t i = 0; i < aSegment.mSlots; ++i) {
      if (ValueAt(aSegment, i) != kFree) {
        const Key key = KeyAt(aSegment, i);
        Write(grown,
              FindSlot(grown, HashOfKey(key), key),
              key,
              ValueAt(aSegment, i));
      }
    }
    aSegment = std::move(grown);
  }

  std::array<Segment, 64> mSegments;
  size_t mSize = 0;
};

} // namespace pollenway
