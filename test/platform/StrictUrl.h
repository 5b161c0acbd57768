#pragma once

#include "RequestTarget.h"

#include <cctype>
#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Decodes the escapes of a part of a URL, and a plus sign as a blank; empty if
/// it has bytes that a URL may not contain.
inline std::optional<std::string> DecodeStrictly(std::string_view aText)
{
  constexpr std::string_view kAllowed = "-._~!$&'()*+,;=:@/?";
  const auto isDigit = [](char aByte) {
    return std::isxdigit(static_cast<unsigned char>(aByte)) != 0;
  };
  std::string out;
  for (size_t n = 0; n < aText.size(); ++n) {
    const auto byte = static_cast<unsigned char>(aText[n]);
    if (byte == '%') {
      if (n + 2 >= aText.size() || !isDigit(aText[n + 1]) ||
          !isDigit(aText[n + 2])) {
        return std::nullopt;
      }
      out += char(std::stoi(std::string(aText.substr(n + 1, 2)), nullptr, 16));
      n += 2;
    } else if (byte == '+') {
      out += ' ';
    } else if (byte < 0x80 && (std::isalnum(byte) ||
                               kAllowed.find(char(byte)) != kAllowed.npos)) {
      out += char(byte);
    } else {
      return std::nullopt;
    }
  }
  return out;
}

/// Splits and decodes a request target as common web servers do; empty if it is
/// no valid URL. Does not use the product's own decoding.
inline std::optional<RequestTarget> ParseStrictUrl(std::string_view aText)
{
  RequestTarget out;
  const size_t query = std::min(aText.find('?'), aText.size());
  const auto split = [](std::string_view aPart, char aSeparator, auto aVisit) {
    while (!aPart.empty()) {
      const size_t n = std::min(aPart.find(aSeparator), aPart.size());
      if (n > 0 && !aVisit(aPart.substr(0, n))) {
        return false;
      }
      aPart.remove_prefix(std::min(n + 1, aPart.size()));
    }
    return true;
  };
  const bool isPath = split(aText.substr(0, query), '/', [&](auto aSegment) {
    const auto text = DecodeStrictly(aSegment);
    out.mSegments.push_back(text.value_or(""));
    return text.has_value();
  });
  const auto rest = aText.substr(std::min(query + 1, aText.size()));
  const bool isQuery = split(rest, '&', [&](auto aPair) {
    const size_t n = std::min(aPair.find('='), aPair.size());
    const auto name = DecodeStrictly(aPair.substr(0, n));
    const auto value =
      DecodeStrictly(aPair.substr(std::min(n + 1, aPair.size())));
    if (name && value) {
      out.mQuery[*name] = *value;
    }
    return name && value;
  });
  return isPath && isQuery ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace pollenway
