#pragma once

#include <string_view>

namespace pollenway {

/// Returns true if the value of an HTTP header field can be this text: it is
/// not empty, has no control character and neither begins nor ends with a
/// blank.
bool IsHeaderText(std::string_view aText);

} // namespace pollenway
