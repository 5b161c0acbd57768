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
  const size_t status = aText.find('\n');
  const size_t type = aText.find('\n', status + 1);
  if (status == std::string::npos || type == std::string::npos) {
    return TextResponse(http::status::internal_server_error, 11);
  }
  TextResponse answer(http::int_to_status(unsigned(std::stoul(aText))), 11);
  const std::string contentType = aText.substr(status + 1, type - status - 1);
  if (!contentType.empty()) {
    answer.set(http::field::content_type, contentType);
  }
  answer.set(header::kOutcome, std::string(Name(Outcome::Ran)));
  answer.set(header::kRepeated, "1");
  answer.body() = aText.substr(type + 1);
  return answer;
}

} // namespace pollenway
