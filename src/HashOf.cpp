#include "HashOf.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenway {

uint64_t HashOf(std::initializer_list<std::string_view> aTexts)
{
  uint64_t hash = 0;
  for (auto it : aTexts) {
    hash = XXH3_64bits_withSeed(it.data(), it.size(), hash + it.size() + 1);
  }
  return hash;
}

} // namespace pollenway
