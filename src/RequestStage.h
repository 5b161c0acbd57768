#pragma once

#include <cstdint>
#include <string_view>

namespace pollenway {

/// What a request that has no final answer yet is waiting for.
enum class RequestStage : uint8_t
{
  /// The caller has not sent the whole request yet.
  ReadingBody,
  /// A connection to a target, or the answer of one.
  AtTarget,
  /// The caller has not read the whole answer yet.
  Answering,
};

/// Returns the name for logs.
constexpr std::string_view Name(RequestStage aStage)
{
  switch (aStage) {
    case RequestStage::ReadingBody:
      return "reading_body";
    case RequestStage::AtTarget:
      return "at_target";
    case RequestStage::Answering:
      break;
  }
  return "answering";
}

} // namespace pollenway
