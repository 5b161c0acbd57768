#pragma once

#include "IpAddress.h"

namespace pollenway {

/// Range of addresses that share their first bits.
class IpPrefix
{
public:
  IpPrefix() = default;

  /// Clears the bits of the address after the first `aLength`, which must not
  /// exceed `aAddress.Bits()`.
  IpPrefix(const IpAddress& aAddress, unsigned aLength);

  /// Parses CIDR notation, for instance "203.0.113.0/24"; an address without a
  /// length is a prefix of full length. Fails with OutOfRange, also if bits
  /// after the prefix length are set.
  static Result<IpPrefix> Parse(std::string_view aText);

  const IpAddress& Address() const { return mAddress; }
  unsigned Length() const { return mLength; }
  bool Contains(const IpAddress& aAddress) const;
  /// Returns a 64-bit hash that is the same on all instances.
  uint64_t Hash() const;
  std::string Text() const;

  auto operator<=>(const IpPrefix&) const = default;

private:
  IpAddress mAddress;
  unsigned mLength = 0;
};

} // namespace pollenway
