#pragma once

#include "HttpTypes.h"
#include "ResultCode.h"
#include "Time.h"

namespace pollenway {

/// Removes hop-by-hop fields, which apply to one connection only.
void RemoveHopFields(http::fields& aFields);

/// Removes the fields that are used between instances only.
void RemoveInternalFields(http::fields& aFields);

/// Removes fields with which a caller could impersonate another workspace or a
/// peer, and the caller's key.
void RemovePrivateFields(http::fields& aFields);

/// Returns the key of an "Authorization: Bearer" field; empty if there is none.
std::string BearerKey(const http::fields& aFields);

/// Returns a field's value as an unsigned integer, or `aDefault` if the field
/// is absent or malformed.
uint64_t NumberField(const http::fields& aFields,
                     beast::string_view aName,
                     uint64_t aDefault);

/// Makes a refusal with code, outcome and detail as JSON, and with Retry-After
/// (rounded up to seconds) if `aRetryAfter` is positive.
TextResponse MakeRefusal(ResultCode aCode,
                         const std::string& aDetail,
                         Duration aRetryAfter = Duration(0));

/// Makes a JSON answer with the given status.
TextResponse MakeJsonAnswer(http::status aStatus, std::string aBody);

} // namespace pollenway
