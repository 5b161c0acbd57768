#pragma once

#include "FleetDigest.h"
#include "Result.h"
#include "WorkspaceNumbers.h"

#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Encodes a digest into one datagram, or into several with part of the uses
/// each; only the first has the status.
std::vector<std::string> EncodeDigest(const FleetDigest& aDigest);

/// Decodes one untrusted datagram. Uses of workspaces that are not in
/// `aNumbers` are left out. Errors: MalformedMessage, MessageTooLarge,
/// UnsupportedVersion.
Result<FleetDigest> DecodeDigest(std::string_view aBytes,
                                 const WorkspaceNumbers& aNumbers);

} // namespace pollenway
