#pragma once

#include <cstdint>
#include <utility>

namespace pollenway {

/// Limits the total number of bytes reserved at a time.
class ByteBudget
{
public:
  explicit ByteBudget(uint64_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// Holds reserved bytes and releases them when destroyed.
  class Reservation
  {
  public:
    Reservation() = default;
    Reservation(Reservation&& aOther) noexcept
      : mBudget(std::exchange(aOther.mBudget, nullptr))
      , mBytes(aOther.mBytes)
    {
    }
    Reservation& operator=(Reservation&& aOther) noexcept
    {
      std::swap(mBudget, aOther.mBudget);
      std::swap(mBytes, aOther.mBytes);
      return *this;
    }
    ~Reservation()
    {
      if (mBudget) {
        mBudget->mUsed -= mBytes;
      }
    }
    explicit operator bool() const { return mBudget != nullptr; }

  private:
    friend class ByteBudget;
    ByteBudget* mBudget = nullptr;
    uint64_t mBytes = 0;
  };

  /// Reserves `aBytes`. The returned reservation is false if they exceed the
  /// remaining budget.
  Reservation Reserve(uint64_t aBytes)
  {
    Reservation out;
    if (aBytes <= mMaxBytes && mUsed <= mMaxBytes - aBytes) {
      mUsed += aBytes;
      out.mBudget = this;
      out.mBytes = aBytes;
    }
    return out;
  }
  /// Changes a reservation of this budget, an empty one or one of another
  /// budget to `aBytes` of this one. Returns false, without a change, if they
  /// exceed the remaining budget.
  bool Resize(Reservation& aReservation, uint64_t aBytes)
  {
    if (!Holds(aReservation)) {
      auto reservation = Reserve(aBytes);
      const bool isReserved = bool(reservation);
      if (isReserved) {
        aReservation = std::move(reservation);
      }
      return isReserved;
    }
    const uint64_t others = mUsed - aReservation.mBytes;
    if (aBytes > mMaxBytes || others > mMaxBytes - aBytes) {
      return false;
    }
    mUsed = others + aBytes;
    aReservation.mBytes = aBytes;
    return true;
  }
  bool Holds(const Reservation& aReservation) const
  {
    return aReservation.mBudget == this;
  }
  uint64_t Used() const { return mUsed; }

private:
  uint64_t mMaxBytes;
  uint64_t mUsed = 0;
};

} // namespace pollenway
