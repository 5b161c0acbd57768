#pragma once

#include "Ids.h"
#include "IpEndpoint.h"
#include "Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Answer to a new instance: endpoints at which it can reach instances of its
/// own zone and some of each other zone.
struct InstanceRoster
{
  struct Entry
  {
    ZoneName mZone;
    IpEndpoint mPeer;

    bool operator==(const Entry&) const = default;
  };

  std::vector<Entry> mEntries;

  bool operator==(const InstanceRoster&) const = default;
};

std::string EncodeRoster(const InstanceRoster& aRoster);

/// Decodes an untrusted datagram. Errors: MalformedMessage, MessageTooLarge,
/// UnsupportedVersion.
Result<InstanceRoster> DecodeRoster(std::string_view aBytes);

} // namespace pollenway
