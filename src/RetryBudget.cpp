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
  , mTokens(aOptions.mInitial)
{
}

void RetryBudget::OnRequest()
{
  ++mRequests;
  mTokens = std::min(mTokens + mOptions.mRatio, mOptions.mMaxTokens);
}

void RetryBudget::SetMaxTokens(double aMaxTokens)
{
  mOptions.mMaxTokens = aMaxTokens;
  mTokens = std::min(mTokens, aMaxTokens);
}

bool RetryBudget::TryRetry()
{
  if (mTokens < 1 - kRounding) {
    return false;
  }
  mTokens = std::max(0.0, mTokens - 1);
  ++mRetries;
  POLLENWAY_ASSERT(double(mRetries) <= mOptions.mInitial +
                                         kRounding * double(mRetries) +
                                         mOptions.mRatio * double(mRequests),
                   "more retries than the budget allows");
  return true;
}

} // namespace pollenway
