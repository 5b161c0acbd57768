#pragma once

#include "HttpTypes.h"

#include <nlohmann/json.hpp>

namespace pollenway {

/// An answer with a JSON body.
inline TextResponse JsonAnswer(http::status aStatus,
                               const nlohmann::json& aDocument)
{
  TextResponse answer(aStatus, 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = aDocument.dump();
  return answer;
}

/// An answer that names what is wrong with the request.
inline TextResponse ErrorAnswer(http::status aStatus,
                                const std::string& aDetail)
{
  nlohmann::json document;
  document["error"] = aDetail;
  return JsonAnswer(aStatus, document);
}

} // namespace pollenway
