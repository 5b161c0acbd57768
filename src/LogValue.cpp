#include "LogValue.h"

#include "ControlCharacter.h"

#include <algorithm>

namespace pollenway {

namespace {

bool NeedsQuotes(char aByte)
{
  return aByte == ' ' || aByte == '"' || aByte == '=' ||
         IsControlCharacter(aByte);
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
    out += IsControlCharacter(it) ? ' ' : it;
  }
  return out + '"';
}

} // namespace pollenway
