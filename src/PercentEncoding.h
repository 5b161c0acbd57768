#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Returns `aText` as a segment of a URL's path, or as a name or value of its
/// query: all bytes are escaped except for letters, digits and "-._~:".
std::string PercentEncode(std::string_view aText);

/// Replaces the escapes of `aText` by the bytes that they stand for. Returns
/// an empty optional if one is not followed by two hexadecimal digits. A plus
/// sign stands for itself.
std::optional<std::string> PercentDecode(std::string_view aText);

} // namespace pollenway
