#pragma once

#include <cstdint>

namespace pollenway {

/// Bounds of a `RetryBudget`.
struct RetryBudgetOptions
{
  /// Retries earned by each request.
  double mRatio = 0.1;
  /// Retries allowed before any request earned one.
  double mInitial = 3;
  /// Most retries saved up, so that a quiet hour doesn't pay for a storm.
  double mMaxTokens = 20;
};

/// Retries allowed at one instance for one service, or better for one workspace
/// of it, so that a workspace whose requests are shed does not use up the
/// retries of others: never more than a tenth of the requests plus the initial
/// allowance.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  /// A caller's request (not a retry) was received.
  void OnRequest();

  /// Changes how many retries may be saved up.
  void SetMaxTokens(double aMaxTokens);
  /// Takes one retry; false if the budget is used up.
  bool TryRetry();

  uint64_t Requests() const { return mRequests; }
  uint64_t Retries() const { return mRetries; }

private:
  RetryBudgetOptions mOptions;
  double mTokens;
  uint64_t mRequests = 0;
  uint64_t mRetries = 0;
};

} // namespace pollenway
