#include "HttpHeaders.h"

#include "HeaderNames.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <vector>

namespace pollenway {

void RemoveHopFields(http::fields& aFields)
{
  static constexpr const char* kHopFields[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Expect",
  };
  // A copy, because the field may name itself.
  const std::string names = FieldText(aFields, "Connection");
  for (const auto& it : http::token_list(names)) {
    aFields.erase(it);
  }
  for (const auto* it : kHopFields) {
    aFields.erase(it);
  }
}

void RemoveInternalFields(http::fields& aFields)
{
  static const beast::string_view kPrefix = "Pollenway-";
  std::vector<std::string> names;
  for (const auto& it : aFields) {
    const auto name = it.name_string();
    if (name.size() >= kPrefix.size() &&
        beast::iequals(name.substr(0, kPrefix.size()), kPrefix)) {
      names.emplace_back(name);
    }
  }
  for (const auto& it : names) {
    aFields.erase(it);
  }
}

void RemovePrivateFields(http::fields& aFields)
{
  RemoveInternalFields(aFields);
  aFields.erase(http::field::authorization);
}

std::string BearerKey(const http::fields& aFields)
{
  static const beast::string_view kScheme = "Bearer ";
  const auto text = aFields[http::field::authorization];
  if (text.size() <= kScheme.size() ||
      !beast::iequals(text.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  return std::string(text.substr(kScheme.size()));
}

uint64_t NumberField(const http::fields& aFields,
                     beast::string_view aName,
                     uint64_t aDefault)
{
  const auto text = aFields[aName];
  uint64_t n = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), n);
  const bool whole = !text.empty() && end == text.data() + text.size();
  return error == std::errc() && whole ? n : aDefault;
}

TextResponse MakeRefusal(ResultCode aCode,
                         const std::string& aDetail,
                         Duration aRetryAfter)
{
  TextResponse answer(http::status(HttpStatusOf(aCode)), 11);
  const std::string outcome(Name(OutcomeOf(aCode)));
  answer.set(http::field::content_type, "application/json");
  answer.set(header::kOutcome, outcome);
  answer.set(header::kCode, std::to_string(int(aCode)));
  if (aRetryAfter > Duration(0)) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
    answer.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  const nlohmann::json body = { { "code", int(aCode) },
                                { "name", std::string(Name(aCode)) },
                                { "outcome", outcome },
                                { "detail", aDetail } };
  answer.body() = body.dump() + "\n";
  return answer;
}

TextResponse MakeJsonAnswer(http::status aStatus, std::string aBody)
{
  TextResponse answer(aStatus, 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = std::move(aBody);
  return answer;
}

} // namespace pollenway
