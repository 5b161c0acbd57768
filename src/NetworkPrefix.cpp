#include "NetworkPrefix.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <string>

#include <openssl/x509v3.h>

namespace pollenway {

namespace {

constexpr size_t kMaxAddressLength = 45;

// OpenSSL parses "010" as decimal 10, other programs as octal 8.
bool HasLeadingZero(std::string_view aText)
{
  for (size_t n = 0; n + 1 < aText.size(); ++n) {
    const bool isPartStart = n == 0 || aText[n - 1] == '.';
    if (isPartStart && aText[n] == '0' && aText[n + 1] != '.') {
      return true;
    }
  }
  return false;
}

bool HasOnlyAddressCharacters(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdefABCDEF.:") ==
         std::string_view::npos;
}

bool FirstBitsEqual(const NetworkPrefix& aLeft,
                    const NetworkPrefix& aRight,
                    unsigned aBits)
{
  for (unsigned n = 0; n < aBits; ++n) {
    const unsigned mask = 0x80u >> (n % 8);
    if ((aLeft.mBytes[n / 8] & mask) != (aRight.mBytes[n / 8] & mask)) {
      return false;
    }
  }
  return true;
}

bool HasHostBits(const NetworkPrefix& aPrefix)
{
  for (unsigned n = aPrefix.mLength; n < 8 * aPrefix.mBytes.size(); ++n) {
    if (aPrefix.mBytes[n / 8] & (0x80u >> (n % 8))) {
      return true;
    }
  }
  return false;
}

} // namespace

std::optional<NetworkPrefix> NetworkPrefix::ParseAddress(std::string_view aText)
{
  const bool isV6 = aText.find(':') != std::string_view::npos;
  if (aText.empty() || aText.size() > kMaxAddressLength ||
      !HasOnlyAddressCharacters(aText) || (!isV6 && HasLeadingZero(aText))) {
    return std::nullopt;
  }
  const std::unique_ptr<ASN1_OCTET_STRING, decltype(&ASN1_OCTET_STRING_free)>
    bytes(a2i_IPADDRESS(std::string(aText).c_str()), &ASN1_OCTET_STRING_free);
  if (!bytes) {
    return std::nullopt;
  }
  const auto size = static_cast<size_t>(ASN1_STRING_length(bytes.get()));
  if (size != (isV6 ? 16u : 4u)) {
    return std::nullopt;
  }
  NetworkPrefix result{ .mLength = static_cast<unsigned>(8 * size),
                        .mIsV6 = isV6 };
  std::copy_n(ASN1_STRING_get0_data(bytes.get()), size, result.mBytes.begin());
  return result;
}

std::optional<NetworkPrefix> NetworkPrefix::Parse(std::string_view aText)
{
  const size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  auto result = ParseAddress(aText.substr(0, slash));
  const std::string_view digits = aText.substr(slash + 1);
  unsigned length = 0;
  const auto [end, ec] =
    std::from_chars(digits.data(), digits.data() + digits.size(), length);
  const bool hasLeadingZero = digits.size() > 1 && digits[0] == '0';
  if (!result || ec != std::errc() || end != digits.data() + digits.size() ||
      hasLeadingZero || length > result->mLength) {
    return std::nullopt;
  }
  result->mLength = length;
  if (HasHostBits(*result)) {
    return std::nullopt;
  }
  return result;
}

bool NetworkPrefix::Contains(const NetworkPrefix& aOther) const
{
  return mIsV6 == aOther.mIsV6 && mLength <= aOther.mLength &&
         FirstBitsEqual(*this, aOther, mLength);
}

bool NetworkPrefix::IsUnspecified() const
{
  return std::all_of(
    mBytes.begin(), mBytes.end(), [](uint8_t aByte) { return aByte == 0; });
}

} // namespace pollenway
