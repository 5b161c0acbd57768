#include "RetryBudget.h"

#include "Assert.h"

#include <algorithm>

namespace pollenway {

namespace {

// Ten additions of 0.1 give slightly less than 1.
constexpr double kRounding = 1e-6;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : mOptions(aOptions)
  , mBalance(aOptions.mInitial)
{
}

void RetryBudget::OnRequest()
{
  ++mRequests;
  mBalance = std::min(mBalance + mOptions.mRatio, mOptions.mMost);
}

void RetryBudget::SetMost(double aMost)
{
  mOptions.mMost = aMost;
  mBalance = std::min(mBalance, aMost);
}

bool RetryBudget::TryRetry()
{
  if (mBalance < 1 - kRounding) {
    return false;
  }
  mBalance = std::max(0.0, mBalance - 1);
  ++mRetries;
  POLLENWAY_ASSERT(double(mRetries) <= mOptions.mInitial +
                                         kRounding * double(mRetries) +
                                         mOptions.mRatio * double(mRequests),
                   "more retries than the budget allows");
  return true;
}

} // namespace pollenway
