#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// The parts of an HTTP request target such as "/v1/objects/a?after=3".
struct RequestTarget
{
  /// Splits `aText`. Nothing is percent-decoded.
  static RequestTarget Parse(std::string_view aText);

  /// A parameter of the query as a number; empty if it is absent, no decimal
  /// number, or out of range.
  std::optional<uint64_t> Number(const std::string& aName) const;

  /// The path's segments, without empty ones.
  std::vector<std::string> mSegments;
  std::map<std::string, std::string> mQuery;
};

/// A decimal number that takes up all of `aText`.
std::optional<uint64_t> ParseNumber(std::string_view aText);

} // namespace pollenway
