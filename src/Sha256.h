#pragma once

#include <string>
#include <string_view>

namespace pollenway {

/// Returns the SHA-256 digest in lower-case hexadecimal (64 characters).
std::string Sha256Hex(std::string_view aText);

} // namespace pollenway
