#pragma once

#include "Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Tokens that left the bucket but may still be used for an admission.
struct TokenHold
{
  TimePoint mUntil;
  double mAmount = 0;
  /// Who got the tokens, and in answer to which of its requests.
  std::string mHolder{};
  uint64_t mRequest = 0;
};

/// A token bucket that starts empty. Held tokens (granted to another process,
/// neither settled nor expired) count against the depth, so that admissions in
/// any window of T seconds are at most depth + rate * T wherever and whenever
/// the held tokens are used. Times that go back are read as the latest one.
class TokenBucket
{
public:
  /// `aRate` in tokens per second. Refilling starts at `aStart`.
  TokenBucket(double aRate, double aDepth, TimePoint aStart);

  /// Removes `aCount` tokens; false, and removes none, if there are fewer.
  bool Take(double aCount, TimePoint aNow);

  /// Like `Take`, and counts the tokens against the depth until `aUntil`.
  bool TakeHeld(double aCount,
                TimePoint aNow,
                TimePoint aUntil,
                std::string aHolder,
                uint64_t aRequest);

  /// Ends the holds of `aHolder` for its requests up to `aRequest`.
  void ReleaseHolds(std::string_view aHolder,
                    uint64_t aRequest,
                    TimePoint aNow);

  /// Counts tokens against the depth that another bucket granted.
  void AddHold(TokenHold aHold, TimePoint aNow);

  /// Adds tokens that another bucket gave up, as far as the depth allows.
  void Put(double aCount, TimePoint aNow);

  /// Changes rate and depth from `aNow` on. Never adds a token; tokens above
  /// the new depth are lost.
  void SetRateAndDepth(double aRate, double aDepth, TimePoint aNow);

  /// Loses all tokens and never refills: another owner has taken over.
  void Retire(TimePoint aNow);

  double Tokens(TimePoint aNow);

  /// Tokens held by others at `aNow`. May exceed the depth for the rest of
  /// the holds' validity after the depth was lowered.
  double Held(TimePoint aNow);

  /// Time until `aCount` tokens are there if none is taken; `Duration::max()`
  /// if never.
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
