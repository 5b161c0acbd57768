#include "JsonNames.h"

#include "JsonParse.h"
#include "NetworkPrefix.h"

#include <optional>

namespace pollenway {

namespace {

constexpr size_t kMaxElementNameLength = 64;
constexpr std::string_view kAlphanumeric =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";

} // namespace

bool IsValidName(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxElementNameLength ||
      kAlphanumeric.find(aText[0]) == std::string_view::npos) {
    return false;
  }
  for (const char it : aText) {
    if (kAlphanumeric.find(it) == std::string_view::npos && it != '.' &&
        it != '_' && it != '-') {
      return false;
    }
  }
  return true;
}

std::string RequiredNameText(JsonFields& aFields, std::string_view aName)
{
  const std::optional<std::string> text = aFields.TryString(aName);
  if (!text || IsValidName(*text)) {
    return text.value_or("");
  }
  aFields.Fail(ResultCode::OutOfRange,
               aName,
               Quoted(*text) +
                 " is not a name (1 to 64 letters, digits, \".\", \"_\" or "
                 "\"-\", starting with a letter or digit)");
  return "";
}

std::string RequiredAddress(JsonFields& aFields, std::string_view aName)
{
  const std::optional<std::string> text = aFields.TryString(aName);
  if (!text) {
    return "";
  }
  const auto address = NetworkPrefix::ParseAddress(*text);
  if (address && !address->IsUnspecified()) {
    return *text;
  }
  aFields.Fail(ResultCode::OutOfRange,
               aName,
               Quoted(*text) + " is not the IP address of a host");
  return "";
}

} // namespace pollenway
