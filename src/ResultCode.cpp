#include "ResultCode.h"

namespace pollenway {

namespace {

struct CodeInfo
{
  ResultCode mCode;
  std::string_view mName;
  Outcome mOutcome;
  unsigned mHttpStatus;
};

constexpr CodeInfo kCodes[] = {
  { ResultCode::Ok, "Ok", Outcome::Ran, 200 },
  { ResultCode::FileUnreadable, "FileUnreadable", Outcome::NotRun, 400 },
  { ResultCode::SyntaxError, "SyntaxError", Outcome::NotRun, 400 },
  { ResultCode::UnknownField, "UnknownField", Outcome::NotRun, 400 },
  { ResultCode::WrongType, "WrongType", Outcome::NotRun, 400 },
  { ResultCode::OutOfRange, "OutOfRange", Outcome::NotRun, 400 },
  { ResultCode::Duplicate, "Duplicate", Outcome::NotRun, 400 },
  { ResultCode::MissingField, "MissingField", Outcome::NotRun, 400 },
  { ResultCode::UnknownReference, "UnknownReference", Outcome::NotRun, 400 },
  { ResultCode::Conflict, "Conflict", Outcome::NotRun, 409 },
  { ResultCode::StoreUnavailable, "StoreUnavailable", Outcome::NotRun, 503 },
  { ResultCode::NotFound, "NotFound", Outcome::NotRun, 404 },
  { ResultCode::InvalidState, "InvalidState", Outcome::NotRun, 409 },
  { ResultCode::MissingKey, "MissingKey", Outcome::NotRun, 401 },
  { ResultCode::UnknownKey, "UnknownKey", Outcome::NotRun, 401 },
  { ResultCode::WithdrawnKey, "WithdrawnKey", Outcome::NotRun, 403 },
  { ResultCode::RateExceeded, "RateExceeded", Outcome::NotRun, 429 },
  { ResultCode::NoHeadroom, "NoHeadroom", Outcome::NotRun, 503 },
  { ResultCode::QueueFull, "QueueFull", Outcome::NotRun, 503 },
  { ResultCode::DeadlineBeforeStart,
    "DeadlineBeforeStart",
    Outcome::NotRun,
    504 },
  { ResultCode::NoTarget, "NoTarget", Outcome::NotRun, 503 },
  { ResultCode::NoRoute, "NoRoute", Outcome::NotRun, 404 },
  { ResultCode::MissingIdempotencyKey,
    "MissingIdempotencyKey",
    Outcome::NotRun,
    400 },
  { ResultCode::HomeUnavailable, "HomeUnavailable", Outcome::NotRun, 503 },
  { ResultCode::Quarantined, "Quarantined", Outcome::NotRun, 503 },
  { ResultCode::Stopping, "Stopping", Outcome::NotRun, 503 },
  { ResultCode::BadRequest, "BadRequest", Outcome::NotRun, 400 },
  { ResultCode::TooLarge, "TooLarge", Outcome::NotRun, 413 },
  { ResultCode::LimitOwnerUnavailable,
    "LimitOwnerUnavailable",
    Outcome::NotRun,
    503 },
  { ResultCode::NoConfiguration, "NoConfiguration", Outcome::NotRun, 503 },
  { ResultCode::KeyPolicyCutOff, "KeyPolicyCutOff", Outcome::NotRun, 503 },
  { ResultCode::TicketFromNewerView,
    "TicketFromNewerView",
    Outcome::NotRun,
    503 },
  { ResultCode::IdempotencyKeyReused,
    "IdempotencyKeyReused",
    Outcome::NotRun,
    422 },
  { ResultCode::InProgress, "InProgress", Outcome::Unknown, 409 },
  { ResultCode::BackendTimeout, "BackendTimeout", Outcome::Unknown, 504 },
  { ResultCode::BackendConnectionLost,
    "BackendConnectionLost",
    Outcome::Unknown,
    502 },
  { ResultCode::RecordsLost, "RecordsLost", Outcome::Unknown, 503 },
  { ResultCode::AnswerIncomplete, "AnswerIncomplete", Outcome::Unknown, 502 },
  { ResultCode::AlreadyRan, "AlreadyRan", Outcome::Ran, 409 },
  { ResultCode::MalformedMessage, "MalformedMessage", Outcome::NotRun, 400 },
  { ResultCode::MessageTooLarge, "MessageTooLarge", Outcome::NotRun, 413 },
  { ResultCode::UnsupportedVersion,
    "UnsupportedVersion",
    Outcome::NotRun,
    400 },
  { ResultCode::PeerUnavailable, "PeerUnavailable", Outcome::NotRun, 503 },
  { ResultCode::StaleView, "StaleView", Outcome::NotRun, 503 },
  { ResultCode::InternalError, "InternalError", Outcome::Unknown, 500 },
};

const CodeInfo& InfoOf(ResultCode aCode)
{
  for (const auto& it : kCodes) {
    if (it.mCode == aCode) {
      return it;
    }
  }
  return kCodes[std::size(kCodes) - 1];
}

} // namespace

std::string_view Name(ResultCode aCode)
{
  return InfoOf(aCode).mName;
}

Outcome OutcomeOf(ResultCode aCode)
{
  return InfoOf(aCode).mOutcome;
}

std::string_view Name(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Ran:
      return "ran";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

unsigned HttpStatusOf(ResultCode aCode)
{
  return InfoOf(aCode).mHttpStatus;
}

} // namespace pollenway
