#include "CutOffKeyPolicy.h"

#include "WithdrawalSet.h"

namespace pollenway {

namespace {
constexpr Duration kContactTimeout = std::chrono::seconds(5);
} // namespace

void CutOffKeyPolicy::RecordContact(TimePoint aNow)
{
  mHasContact = true;
  mLastContactAt = aNow;
}

Result<void> CutOffKeyPolicy::CheckKeyedRequest(
  TimePoint aNow,
  const WithdrawalSet& aWithdrawals) const
{
  // Applies to mode Serve too: a process that has just started knows no
  // withdrawals, not even those that reached its zone before it was isolated.
  if (!aWithdrawals.IsSynchronised()) {
    return Error{ ResultCode::KeyPolicyCutOff,
                  "withdrawn keys are not known yet",
                  {} };
  }
  if (mMode == Mode::Refuse &&
      (!mHasContact || aNow >= mLastContactAt + kContactTimeout)) {
    return Error{ ResultCode::KeyPolicyCutOff,
                  "no contact outside the zone for 5 s",
                  {} };
  }
  return outcome::success();
}

} // namespace pollenway
