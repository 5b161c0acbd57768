#pragma once

#include "InstanceSummary.h"
#include "Result.h"

#include <string>
#include <string_view>

namespace pollenway {

/// Largest encoded summary in bytes: what one datagram carries without being
/// fragmented by loopback and data centre links.
constexpr size_t kMaxSummaryBytes = 8192;

std::string EncodeSummary(const InstanceSummary& aSummary);

/// Decodes a datagram, which is not trusted. Errors: MalformedMessage,
/// MessageTooLarge, UnsupportedVersion.
Result<InstanceSummary> DecodeSummary(std::string_view aBytes);

} // namespace pollenway
