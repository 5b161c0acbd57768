#pragma once

#include "IpAddress.h"

namespace pollenway {

/// A range of addresses that share their first bits.
class IpPrefix
{
public:
  IpPrefix() = default;

  /// Clears the address's bits after `aLength`, which must not exceed the
  /// address's bits.
  IpPrefix(const IpAddress& aAddress, unsigned aLength);

  /// Reads CIDR notation, for instance "203.0.113.0/24"; an address alone is a
  /// prefix of full length. Fails with OutOfRange, also if bits after the
  /// length are set.
  static Result<IpPrefix> Parse(std::string_view aText);

  const IpAddress& Address() const { return mAddress; }
  unsigned Length() const { return mLength; }
  bool Contains(const IpAddress& aAddress) const;
  /// 64-bit hash, equal on all instances.
  uint64_t Hash() const;
  std::string Text() const;

  auto operator<=>(const IpPrefix&) const = default;

private:
  IpAddress mAddress;
  unsigned mLength = 0;
};

} // namespace pollenway
