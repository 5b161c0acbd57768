#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// The components of an HTTP request target such as "/v1/objects/a?after=3".
struct RequestTarget
{
  /// Splits `aText` and decodes the parts. A part with a malformed escape is
  /// kept as it is.
  static RequestTarget Parse(std::string_view aText);

  /// Returns a query parameter as a number; empty if it is absent, not a
  /// decimal number, or out of range.
  std::optional<uint64_t> Number(const std::string& aName) const;

  /// The path's non-empty segments.
  std::vector<std::string> mSegments;
  std::map<std::string, std::string> mQuery;
};

/// Parses a decimal number that must span all of `aText`; empty otherwise.
std::optional<uint64_t> ParseNumber(std::string_view aText);

} // namespace pollenway
