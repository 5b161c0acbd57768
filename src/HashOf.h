#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace pollenway {

/// Returns a 64-bit hash (XXH3) of a list of texts. Equal on all instances and
/// builds; depends on the boundaries between the texts. Not cryptographic.
uint64_t HashOf(std::initializer_list<std::string_view> aTexts);

} // namespace pollenway
