#pragma once

#include <string>
#include <string_view>

namespace pollenway {

/// Returns `aValue` as the value of a log line's field: one word, or a quoted
/// text if it is empty or has blanks, quotes, equals signs or control
/// characters. Control characters are replaced by blanks.
std::string FormatLogValue(std::string_view aValue);

} // namespace pollenway
