#pragma once

#include <cstdint>

namespace pollenway {

/// Limits of a `RetryBudget`.
struct RetryBudgetOptions
{
  /// Retries earned by each request.
  double mRatio = 0.1;
  /// Retries allowed before any request has earned one.
  double mInitial = 3;
  /// Maximum number of retries saved up, so that an hour without failures does
  /// not allow a retry storm.
  double mMaxTokens = 20;
};

/// Limits the retries of one instance for one service, or preferably for one
/// workspace of it, so that a workspace whose requests are shed does not use up
/// the retries of others. Retries never exceed `mRatio` times the requests (a
/// tenth by default) plus the initial allowance.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions = {});

  /// Called when a caller's request (not a retry) was received.
  void OnRequest();

  /// Sets the maximum number of retries saved up.
  void SetMaxTokens(double aMaxTokens);
  /// Consumes one retry. Returns false if the budget is used up.
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
