#pragma once

#include "HttpTypes.h"

#include <string>

namespace pollenway {

/// The text in which an answer is kept with its idempotency record: status,
/// content type and body.
std::string EncodeStoredAnswer(const TextResponse& aAnswer);

/// The answer of such a text, marked as a repeat.
TextResponse DecodeStoredAnswer(const std::string& aText);

} // namespace pollenway
