#include "BodyMemory.h"

namespace pollenway {

bool BodyMemory::Resize(ByteBudget::Reservation& aReservation, uint64_t aBytes)
{
  if (mSingle.Holds(aReservation)) {
    return mSingle.Resize(aReservation, aBytes);
  }
  return mShared.Resize(aReservation, aBytes) ||
         (mSingle.Used() == 0 && mSingle.Resize(aReservation, aBytes));
}

} // namespace pollenway
