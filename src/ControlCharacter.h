#pragma once

namespace pollenway {

/// Returns true for the control characters of ASCII, among them the delete
/// character.
constexpr bool IsControlCharacter(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < 0x20 || byte == 0x7f;
}

} // namespace pollenway
