#include "ResultCode.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a code that is missing from the table of names and outcomes: a
// missing entry would be reported as InternalError with an unknown outcome.
TEST_CASE("result codes carry a name and an outcome")
{
  struct Row
  {
    ResultCode mCode;
    std::string_view mName;
    Outcome mOutcome;
  };
  const Row rows[] = {
    { ResultCode::RateExceeded, "RateExceeded", Outcome::NotRun },
    { ResultCode::HomeUnavailable, "HomeUnavailable", Outcome::NotRun },
    { ResultCode::RecordsLost, "RecordsLost", Outcome::Unknown },
    { ResultCode::BackendTimeout, "BackendTimeout", Outcome::Unknown },
    { ResultCode::AlreadyRan, "AlreadyRan", Outcome::Ran },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mName);
    CHECK(Name(it.mCode) == it.mName);
    CHECK(OutcomeOf(it.mCode) == it.mOutcome);
  }
}
