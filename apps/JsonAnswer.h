#pragma once

#include "HttpTypes.h"

#include <nlohmann/json.hpp>

namespace pollenway {

/// Returns an answer with a JSON body.
inline TextResponse JsonAnswer(http::status aStatus,
                               const nlohmann::json& aDocument)
{
  TextResponse answer(aStatus, 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = aDocument.dump();
  return answer;
}

/// Returns an answer whose JSON body is {"error": `aDetail`}.
inline TextResponse ErrorAnswer(http::status aStatus,
                                const std::string& aDetail)
{
  nlohmann::json document;
  document["error"] = aDetail;
  return JsonAnswer(aStatus, document);
}

} // namespace pollenway
