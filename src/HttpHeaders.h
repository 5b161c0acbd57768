#pragma once

#include "HttpTypes.h"
#include "ResultCode.h"
#include "Time.h"

namespace pollenway {

/// Removes fields that hold for one connection only.
void RemoveHopFields(http::fields& aFields);

/// Removes fields by which a caller could pose as another workspace or as a
/// peer, and the caller's key.
void RemovePrivateFields(http::fields& aFields);

/// The key of an "Authorization: Bearer" field; empty if there is none.
std::string BearerKey(const http::fields& aFields);

/// A field's whole-number value, or `aDefault` if it is absent or malformed.
uint64_t NumberField(const http::fields& aFields,
                     beast::string_view aName,
                     uint64_t aDefault);

/// A refusal with code, outcome and detail as JSON, and Retry-After (rounded
/// up to seconds) if `aRetryAfter` is positive.
TextResponse MakeRefusal(ResultCode aCode,
                         const std::string& aDetail,
                         Duration aRetryAfter = Duration(0));

/// A JSON answer with the given status.
TextResponse MakeJsonAnswer(http::status aStatus, std::string aBody);

} // namespace pollenway
