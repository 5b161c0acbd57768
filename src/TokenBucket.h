#pragma once

#include "Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Tokens that were taken from the bucket but may still be used for an
/// admission.
struct TokenHold
{
  TimePoint mUntil;
  double mAmount = 0;
  /// The receiver of the tokens and the id of its request.
  std::string mHolder{};
  uint64_t mRequest = 0;
};

/// A token bucket that is initially empty. Held tokens (granted to another
/// process, neither released nor expired) count against the depth, so that
/// admissions in any window of T seconds are at most depth + rate * T, wherever
/// and whenever the held tokens are used. A time earlier than one seen before
/// is treated as the latest one.
class TokenBucket
{
public:
  /// Creates an empty bucket. `aRate` is in tokens per second. Refilling starts
  /// at `aStart`.
  TokenBucket(double aRate, double aDepth, TimePoint aStart);

  /// Removes `aCount` tokens. Returns false and removes none if the bucket has
  /// fewer.
  bool Take(double aCount, TimePoint aNow);

  /// Like `Take`, but counts the tokens against the depth until `aUntil`.
  bool TakeHeld(double aCount,
                TimePoint aNow,
                TimePoint aUntil,
                std::string aHolder,
                uint64_t aRequest);

  /// Releases the holds of `aHolder` for its requests up to `aRequest`.
  void ReleaseHolds(std::string_view aHolder,
                    uint64_t aRequest,
                    TimePoint aNow);

  /// Adds a hold of tokens that another bucket granted.
  void AddHold(TokenHold aHold, TimePoint aNow);

  /// Adds tokens that were taken from another bucket, up to the depth.
  void Put(double aCount, TimePoint aNow);

  /// Changes the rate and depth as of `aNow`. Never adds tokens; tokens above
  /// the new depth are discarded.
  void SetRateAndDepth(double aRate, double aDepth, TimePoint aNow);

  /// Discards all tokens and stops refilling. Called when another owner takes
  /// over.
  void Retire(TimePoint aNow);

  double Tokens(TimePoint aNow);

  /// Returns the number of held tokens at `aNow`. After the depth was lowered,
  /// it may exceed the depth until the holds expire.
  double Held(TimePoint aNow);

  /// Returns the time until the bucket has `aCount` tokens if none are taken;
  /// `Duration::max()` if it never will.
  Duration TimeUntil(double aCount, TimePoint aNow);

  const std::vector<TokenHold>& Holds() const { return mHolds; }
  double Rate() const { return mRate; }
  double Depth() const { return mDepth; }

private:
  void Advance(TimePoint aNow);
  void RefillUntil(TimePoint aTime);
  void InsertHold(TokenHold aHold);
  double AvailableDepth() const;
  void CheckDepth() const;

  double mRate;
  double mDepth;
  double mTokens = 0;
  double mHeld = 0;
  TimePoint mUpdatedAt;
  /// In order of expiry.
  std::vector<TokenHold> mHolds;
};

} // namespace pollenway
