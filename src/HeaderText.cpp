#include "HeaderText.h"

#include <algorithm>

namespace pollenway {

bool IsHeaderText(std::string_view aText)
{
  const auto isControl = [](char aByte) {
    const auto byte = static_cast<unsigned char>(aByte);
    return byte < 0x20 || byte == 0x7f;
  };
  return !aText.empty() && aText.front() != ' ' && aText.back() != ' ' &&
         std::none_of(aText.begin(), aText.end(), isControl);
}

} // namespace pollenway
