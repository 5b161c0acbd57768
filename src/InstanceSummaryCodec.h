#pragma once

#include "InstanceSummary.h"
#include "Result.h"

#include <string>
#include <string_view>

namespace pollenway {

/// Maximum size of an encoded summary in bytes: what one datagram carries
/// without being fragmented on loopback and data centre links.
constexpr size_t kMaxSummaryBytes = 8192;

std::string EncodeSummary(const InstanceSummary& aSummary);

/// Decodes an untrusted datagram. Errors: MalformedMessage, MessageTooLarge,
/// UnsupportedVersion.
Result<InstanceSummary> DecodeSummary(std::string_view aBytes);

} // namespace pollenway
