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

/// An IPv4 or IPv6 address. An IPv4 address mapped into IPv6 (::ffff:a.b.c.d,
/// as dual-stack sockets report it) becomes the IPv4 address.
class IpAddress
{
public:
  IpAddress() = default;

  static IpAddress FromV4(uint32_t aBits);
  static IpAddress FromV6(uint64_t aHigh, uint64_t aLow);
  /// From network byte order, as a socket address holds it.
  static IpAddress FromBytes(const std::array<uint8_t, 16>& aBytes);

  /// Reads the usual text forms. Fails with OutOfRange.
  static Result<IpAddress> Parse(std::string_view aText);

  IpFamily Family() const { return mFamily; }
  /// 32 or 128.
  unsigned Bits() const { return mFamily == IpFamily::V4 ? 32 : 128; }
  /// The first 64 bits; an IPv4 address fills the first 32 of them.
  uint64_t High() const { return mHigh; }
  uint64_t Low() const { return mLow; }

  /// Dotted decimal, or eight hexadecimal groups without abbreviation.
  std::string Text() const;

  auto operator<=>(const IpAddress&) const = default;

private:
  IpFamily mFamily = IpFamily::V4;
  uint64_t mHigh = 0;
  uint64_t mLow = 0;
};

} // namespace pollenway
