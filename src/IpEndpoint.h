#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace pollenway {

/// An IP address in text form and a TCP port.
struct IpEndpoint
{
  std::string mAddress;
  uint16_t mPort = 0;

  auto operator<=>(const IpEndpoint&) const = default;
};

} // namespace pollenway
