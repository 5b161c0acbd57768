#include "IpPrefix.h"

#include "Assert.h"
#include "MixHash.h"

#include <charconv>

namespace pollenway {

namespace {

uint64_t PrefixMask(unsigned aBits)
{
  return aBits == 0 ? 0 : aBits >= 64 ? ~0ULL : ~(~0ULL >> aBits);
}

IpAddress MaskAddress(const IpAddress& aAddress, unsigned aLength)
{
  const uint64_t high = aAddress.High() & PrefixMask(aLength);
  if (aAddress.Family() == IpFamily::V4) {
    return IpAddress::FromV4(uint32_t(high >> 32));
  }
  return IpAddress::FromV6(
    high, aLength > 64 ? aAddress.Low() & PrefixMask(aLength - 64) : 0);
}

} // namespace

IpPrefix::IpPrefix(const IpAddress& aAddress, unsigned aLength)
  : mAddress(MaskAddress(aAddress, aLength))
  , mLength(aLength)
{
  POLLENWAY_ASSERT(aLength <= aAddress.Bits(),
                   "prefix length exceeds the address length");
}

Result<IpPrefix> IpPrefix::Parse(std::string_view aText)
{
  const size_t slash = aText.find('/');
  BOOST_OUTCOME_TRY(address, IpAddress::Parse(aText.substr(0, slash)));
  unsigned length = address.Bits();
  if (slash != std::string_view::npos) {
    const char* end = aText.data() + aText.size();
    const auto parsed = std::from_chars(aText.data() + slash + 1, end, length);
    if (parsed.ec != std::errc() || parsed.ptr != end ||
        length > address.Bits()) {
      return Error{ .mCode = ResultCode::OutOfRange,
                    .mDetail = "invalid prefix length: " +
                               std::string(aText.substr(0, 64)),
                    .mPath = {} };
    }
  }
  const IpPrefix out(address, length);
  if (out.mAddress != address) {
    return Error{ .mCode = ResultCode::OutOfRange,
                  .mDetail = "address bits are set after the prefix length: " +
                             std::string(aText.substr(0, 64)),
                  .mPath = {} };
  }
  return out;
}

bool IpPrefix::Contains(const IpAddress& aAddress) const
{
  return aAddress.Family() == mAddress.Family() &&
         MaskAddress(aAddress, mLength) == mAddress;
}

uint64_t IpPrefix::Hash() const
{
  const uint64_t kind = mLength << 1 | unsigned(mAddress.Family());
  return MixHash(MixHash(mAddress.High(), mAddress.Low()), kind);
}

std::string IpPrefix::Text() const
{
  return mAddress.Text() + "/" + std::to_string(mLength);
}

} // namespace pollenway
