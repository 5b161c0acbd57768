#include "LogValue.h"

#include <algorithm>

namespace pollenway {

namespace {

bool IsControl(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < 0x20 || byte == 0x7f;
}

bool NeedsQuotes(char aByte)
{
  return aByte == ' ' || aByte == '"' || aByte == '=' || IsControl(aByte);
}

} // namespace

std::string FormatLogValue(std::string_view aValue)
{
  if (!aValue.empty() &&
      std::none_of(aValue.begin(), aValue.end(), NeedsQuotes)) {
    return std::string(aValue);
  }
  std::string out = "\"";
  for (const char it : aValue) {
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += IsControl(it) ? ' ' : it;
  }
  return out + '"';
}

} // namespace pollenway
