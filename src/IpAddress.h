#pragma once

#include "Result.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

enum class IpFamily : uint8_t
{
  V4,
  V6,
};

/// An IPv4 or IPv6 address. An IPv4-mapped IPv6 address (::ffff:a.b.c.d, as
/// reported by dual-stack sockets) is converted to the IPv4 address.
class IpAddress
{
public:
  IpAddress() = default;

  static IpAddress FromV4(uint32_t aBits);
  static IpAddress FromV6(uint64_t aHigh, uint64_t aLow);
  /// Creates an address from bytes in network byte order, as in a socket
  /// address.
  static IpAddress FromBytes(const std::array<uint8_t, 16>& aBytes);

  /// Parses the usual text forms. Fails with OutOfRange.
  static Result<IpAddress> Parse(std::string_view aText);

  IpFamily Family() const { return mFamily; }
  /// Returns the address length in bits: 32 or 128.
  unsigned Bits() const { return mFamily == IpFamily::V4 ? 32 : 128; }
  /// Returns the first 64 bits; an IPv4 address is in the upper 32 of them.
  uint64_t High() const { return mHigh; }
  uint64_t Low() const { return mLow; }

  /// Returns dotted decimal, or eight hexadecimal groups without abbreviation.
  std::string Text() const;

  auto operator<=>(const IpAddress&) const = default;

private:
  IpFamily mFamily = IpFamily::V4;
  uint64_t mHigh = 0;
  uint64_t mLow = 0;
};

} // namespace pollenway
