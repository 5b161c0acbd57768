#include "StoredAnswer.h"

#include "HeaderNames.h"
#include "ResultCode.h"

namespace pollenway {

std::string EncodeStoredAnswer(const TextResponse& aAnswer)
{
  return std::to_string(aAnswer.result_int()) + "\n" +
         FieldText(aAnswer, "Content-Type") + "\n" + aAnswer.body();
}

TextResponse DecodeStoredAnswer(const std::string& aText)
{
  const size_t statusEnd = aText.find('\n');
  const size_t typeEnd = aText.find('\n', statusEnd + 1);
  if (statusEnd == std::string::npos || typeEnd == std::string::npos) {
    return TextResponse(http::status::internal_server_error, 11);
  }
  TextResponse answer(http::int_to_status(unsigned(std::stoul(aText))), 11);
  const std::string contentType =
    aText.substr(statusEnd + 1, typeEnd - statusEnd - 1);
  if (!contentType.empty()) {
    answer.set(http::field::content_type, contentType);
  }
  answer.set(header::kOutcome, std::string(Name(Outcome::Ran)));
  answer.set(header::kRepeated, "1");
  answer.body() = aText.substr(typeEnd + 1);
  return answer;
}

} // namespace pollenway
