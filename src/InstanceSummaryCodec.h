#pragma once

#include "DatagramFields.h"
#include "InstanceSummary.h"
#include "Result.h"

#include <string>
#include <string_view>

namespace pollenway {

std::string EncodeSummary(const InstanceSummary& aSummary);

/// Decodes an untrusted datagram. Errors: MalformedMessage, MessageTooLarge,
/// UnsupportedVersion.
Result<InstanceSummary> DecodeSummary(std::string_view aBytes);

} // namespace pollenway
