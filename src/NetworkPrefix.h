#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pollenway {

/// A range of IPv4 or IPv6 addresses that share their first bits.
struct NetworkPrefix
{
  /// Network byte order; IPv4 uses the first 4 bytes, the rest are 0.
  std::array<uint8_t, 16> mBytes{};
  /// Number of leading bits in the prefix: up to 32 for IPv4, 128 for IPv6.
  unsigned mLength = 0;
  bool mIsV6 = false;

  /// Parses CIDR notation such as "203.0.113.0/24" or "2001:db8::/32". Returns
  /// nothing if it is malformed or a bit after the prefix is set.
  static std::optional<NetworkPrefix> Parse(std::string_view aText);

  /// Parses a single address such as "203.0.113.7" as a prefix of full length.
  /// Returns nothing if it is malformed.
  static std::optional<NetworkPrefix> ParseAddress(std::string_view aText);

  /// Returns true if every address of `aOther` is in this prefix. IPv4 and IPv6
  /// prefixes never contain each other.
  bool Contains(const NetworkPrefix& aOther) const;

  /// Returns true for the address 0.0.0.0 or ::, which identifies no host.
  bool IsUnspecified() const;

  auto operator<=>(const NetworkPrefix&) const = default;
};

} // namespace pollenway
