#pragma once

#include <cstdint>
#include <string_view>

namespace pollenway {

/// What is known about the execution of a request that got a result code.
enum class Outcome
{
  NotRun,  ///< No byte reached a backend server, or the server reported that
           ///< it did not start the request.
  Ran,     ///< It ran; the answer may no longer be available.
  Unknown, ///< It may or may not have run.
};

/// Numbered results. The numbers are part of the interface and must never be
/// reused. docs/result-codes.md lists them.
enum class ResultCode : uint16_t
{
  Ok = 0,

  // Errors of settings, inventory and operators' commands.
  FileUnreadable = 101,
  SyntaxError = 102,
  UnknownField = 103,
  WrongType = 104,
  OutOfRange = 105,
  Duplicate = 106,
  MissingField = 107,
  UnknownReference = 108,
  Conflict = 109,
  StoreUnavailable = 110,
  NotFound = 111,
  InvalidState = 112,

  // Requests refused before they ran.
  MissingKey = 201,
  UnknownKey = 202,
  WithdrawnKey = 203,
  RateExceeded = 204,
  NoHeadroom = 205,
  QueueFull = 206,
  DeadlineBeforeStart = 207,
  NoTarget = 208,
  NoRoute = 209,
  MissingIdempotencyKey = 210,
  HomeUnavailable = 211,
  Quarantined = 212,
  Stopping = 213,
  BadRequest = 214,
  TooLarge = 215,
  LimitOwnerUnavailable = 216,
  NoConfiguration = 217,
  KeyPolicyCutOff = 218,
  TicketFromNewerView = 219,
  IdempotencyKeyReused = 220,

  // Requests whose outcome is unknown.
  InProgress = 301,
  BackendTimeout = 302,
  BackendConnectionLost = 303,
  RecordsLost = 304,
  AnswerIncomplete = 305,

  // Requests that ran.
  AlreadyRan = 401,

  // Peer and store messages.
  MalformedMessage = 501,
  MessageTooLarge = 502,
  UnsupportedVersion = 503,
  PeerUnavailable = 504,
  StaleView = 505,

  InternalError = 901,
};

/// Returns the enumerator's name, for instance "RateExceeded".
std::string_view Name(ResultCode aCode);

/// Returns what is known about the execution of a request that got this code.
Outcome OutcomeOf(ResultCode aCode);

/// Returns "not-run", "ran" or "unknown".
std::string_view Name(Outcome aOutcome);

/// Returns the HTTP status of an answer that refuses a request with this code.
unsigned HttpStatusOf(ResultCode aCode);

} // namespace pollenway
