#include "PercentEncoding.h"

#include <charconv>

namespace pollenway {

namespace {

constexpr std::string_view kUnescaped = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "abcdefghijklmnopqrstuvwxyz"
                                        "0123456789-._~:";

} // namespace

std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  out.reserve(aText.size());
  for (const char it : aText) {
    if (kUnescaped.find(it) != std::string_view::npos) {
      out += it;
      continue;
    }
    const auto byte = static_cast<unsigned char>(it);
    out += '%';
    out += kDigits[byte >> 4];
    out += kDigits[byte & 0xf];
  }
  return out;
}

std::optional<std::string> PercentDecode(std::string_view aText)
{
  std::string out;
  out.reserve(aText.size());
  for (size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] != '%') {
      out += aText[n];
      continue;
    }
    const std::string_view digits = aText.substr(n + 1, 2);
    unsigned char byte = 0;
    const char* const end = digits.data() + digits.size();
    const auto [last, error] = std::from_chars(digits.data(), end, byte, 16);
    if (digits.size() < 2 || error != std::errc() || last != end) {
      return std::nullopt;
    }
    out += char(byte);
    n += 2;
  }
  return out;
}

} // namespace pollenway
