#pragma once

#include "HttpTypes.h"

#include <string>

namespace pollenway {

/// Encodes an answer as the text that is stored in its idempotency record:
/// status, content type and body.
std::string EncodeStoredAnswer(const TextResponse& aAnswer);

/// Decodes such a text and marks the answer as a repeat. Returns an answer with
/// status 500 if the text is malformed.
TextResponse DecodeStoredAnswer(const std::string& aText);

} // namespace pollenway
