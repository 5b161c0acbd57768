#include "IpAddress.h"

#include <cstdio>
#include <memory>
#include <openssl/x509v3.h>

namespace pollenway {

IpAddress IpAddress::FromV4(uint32_t aBits)
{
  IpAddress out;
  out.mHigh = uint64_t(aBits) << 32;
  return out;
}

IpAddress IpAddress::FromV6(uint64_t aHigh, uint64_t aLow)
{
  if (aHigh == 0 && aLow >> 32 == 0xffff) {
    return FromV4(uint32_t(aLow));
  }
  IpAddress out;
  out.mFamily = IpFamily::V6;
  out.mHigh = aHigh;
  out.mLow = aLow;
  return out;
}

IpAddress IpAddress::FromBytes(const std::array<uint8_t, 16>& aBytes)
{
  uint64_t high = 0;
  uint64_t low = 0;
  for (unsigned i = 0; i < 8; ++i) {
    high = high << 8 | aBytes[i];
    low = low << 8 | aBytes[i + 8];
  }
  return FromV6(high, low);
}

Result<IpAddress> IpAddress::Parse(std::string_view aText)
{
  // inet_pton needs <sys/socket.h>, which the layers check forbids in the core.
  // The character check rejects blanks and signs, which OpenSSL's parser
  // accepts before a number.
  const Error error{ .mCode = ResultCode::OutOfRange,
                     .mDetail =
                       "not an IP address: " + std::string(aText.substr(0, 64)),
                     .mPath = {} };
  if (aText.empty() || aText.size() > 45 ||
      aText.find_first_not_of("0123456789abcdefABCDEF:.") !=
        std::string_view::npos) {
    return error;
  }
  const std::unique_ptr<ASN1_OCTET_STRING, decltype(&ASN1_OCTET_STRING_free)>
    octets(a2i_IPADDRESS(std::string(aText).c_str()), &ASN1_OCTET_STRING_free);
  if (!octets) {
    return error;
  }
  const unsigned char* data = ASN1_STRING_get0_data(octets.get());
  if (ASN1_STRING_length(octets.get()) == 4) {
    return FromV4(uint32_t(data[0]) << 24 | uint32_t(data[1]) << 16 |
                  uint32_t(data[2]) << 8 | uint32_t(data[3]));
  }
  std::array<uint8_t, 16> bytes{};
  std::copy_n(data, bytes.size(), bytes.begin());
  return FromBytes(bytes);
}

std::string IpAddress::Text() const
{
  char buf[64];
  if (mFamily == IpFamily::V4) {
    std::snprintf(buf,
                  sizeof buf,
                  "%u.%u.%u.%u",
                  unsigned(mHigh >> 56),
                  unsigned(mHigh >> 48 & 255),
                  unsigned(mHigh >> 40 & 255),
                  unsigned(mHigh >> 32 & 255));
    return buf;
  }
  std::string out;
  for (unsigned i = 0; i < 8; ++i) {
    const uint64_t half = i < 4 ? mHigh : mLow;
    std::snprintf(
      buf, sizeof buf, "%x", unsigned(half >> (48 - 16 * (i % 4)) & 0xffff));
    out += i ? ":" : "";
    out += buf;
  }
  return out;
}

} // namespace pollenway
