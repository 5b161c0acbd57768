#include "HeaderText.h"

#include "ControlCharacter.h"

#include <algorithm>

namespace pollenway {

bool IsHeaderText(std::string_view aText)
{
  return !aText.empty() && aText.front() != ' ' && aText.back() != ' ' &&
         std::none_of(aText.begin(), aText.end(), IsControlCharacter);
}

} // namespace pollenway
