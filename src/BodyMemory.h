#pragma once

#include "ByteBudget.h"

#include <cstdint>

namespace pollenway {

/// Memory for the bodies of requests in flight. They share a budget; beside it,
/// one body at a time that doesn't fit there has a budget of its own, so that a
/// single large body is served although many must not be.
class BodyMemory
{
public:
  struct Options
  {
    uint64_t mSharedBytes = 0;
    /// Maximum size of the body beside the shared budget; 0 for none.
    uint64_t mMaxSingleBytes = 0;
  };

  explicit BodyMemory(Options aOptions)
    : mShared(aOptions.mSharedBytes)
    , mSingle(aOptions.mMaxSingleBytes)
  {
  }

  /// Changes a body's reservation, which is empty at first, to `aBytes`.
  /// Returns false, without a change, if there is no room.
  bool Resize(ByteBudget::Reservation& aReservation, uint64_t aBytes);
  uint64_t Used() const { return mShared.Used() + mSingle.Used(); }

private:
  ByteBudget mShared;
  ByteBudget mSingle;
};

} // namespace pollenway
