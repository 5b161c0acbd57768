#pragma once

#include "Result.h"
#include "Time.h"

namespace pollenway {

class WithdrawalSet;

/// Decides whether an instance that may lack withdrawals serves keyed requests.
class CutOffKeyPolicy
{
public:
  enum class Mode
  {
    Serve,  ///< Serve with the withdrawals known so far.
    Refuse, ///< Refuse keyed requests after 5 s without contact.
  };

  explicit CutOffKeyPolicy(Mode aMode = Mode::Serve)
    : mMode(aMode)
  {
  }

  /// Records an answer from outside the own zone: from an instance of a remote
  /// zone or from the store. If there is no remote zone, an answer from any
  /// peer counts, and an instance without peers counts as in contact.
  void RecordContact(TimePoint aNow);

  /// Returns an error if a keyed request must not be served now. Errors:
  /// KeyPolicyCutOff.
  Result<void> CheckKeyedRequest(TimePoint aNow,
                                 const WithdrawalSet& aWithdrawals) const;

private:
  Mode mMode;
  bool mHasContact = false;
  TimePoint mLastContactAt;
};

} // namespace pollenway
