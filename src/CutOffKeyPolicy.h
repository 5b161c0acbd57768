#pragma once

#include "Result.h"
#include "Time.h"

namespace pollenway {

class WithdrawalSet;

/// Whether keyed requests are served by an instance that may lack withdrawals.
class CutOffKeyPolicy
{
public:
  enum class Mode
  {
    Serve,  ///< Serve with the keys known.
    Refuse, ///< Refuse keyed requests after 5 s without contact.
  };

  explicit CutOffKeyPolicy(Mode aMode = Mode::Serve)
    : mMode(aMode)
  {
  }

  /// An answer came from outside the own zone: from an instance of another
  /// zone or from the store. If there is no other zone, any peer counts, and
  /// an instance without peers counts as in contact.
  void RecordContact(TimePoint aNow);

  /// Errors: KeyPolicyCutOff.
  Result<void> CheckKeyedRequest(TimePoint aNow,
                                 const WithdrawalSet& aWithdrawals) const;

private:
  Mode mMode;
  bool mHasContact = false;
  TimePoint mLastContactAt;
};

} // namespace pollenway
