#include "RequestTarget.h"

#include "PercentEncoding.h"

#include <charconv>

namespace pollenway {

namespace {

template<typename Visit>
void Split(std::string_view aText, char aSeparator, Visit&& aVisit)
{
  while (!aText.empty()) {
    const size_t n = std::min(aText.find(aSeparator), aText.size());
    if (n > 0) {
      aVisit(aText.substr(0, n));
    }
    aText.remove_prefix(std::min(n + 1, aText.size()));
  }
}

std::string Decode(std::string_view aText)
{
  return PercentDecode(aText).value_or(std::string(aText));
}

} // namespace

RequestTarget RequestTarget::Parse(std::string_view aText)
{
  RequestTarget target;
  const size_t queryStart = std::min(aText.find('?'), aText.size());
  Split(aText.substr(0, queryStart), '/', [&](std::string_view aSegment) {
    target.mSegments.push_back(Decode(aSegment));
  });
  if (queryStart < aText.size()) {
    Split(aText.substr(queryStart + 1), '&', [&](std::string_view aPair) {
      const size_t n = std::min(aPair.find('='), aPair.size());
      target.mQuery[Decode(aPair.substr(0, n))] =
        Decode(aPair.substr(std::min(n + 1, aPair.size())));
    });
  }
  return target;
}

std::optional<uint64_t> RequestTarget::Number(const std::string& aName) const
{
  const auto it = mQuery.find(aName);
  return it == mQuery.end() ? std::nullopt : ParseNumber(it->second);
}

std::optional<uint64_t> ParseNumber(std::string_view aText)
{
  uint64_t n = 0;
  const char* const end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, n);
  if (aText.empty() || error != std::errc() || last != end) {
    return std::nullopt;
  }
  return n;
}

} // namespace pollenway
