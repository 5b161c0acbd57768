#pragma once

#include "GatewayFixture.h"

namespace pollenway {

/// Sends a request about one of several objects, whose homes differ.
inline Awaitable<TextResponse> Ask(GatewayFixture& aFixture, int aNumber)
{
  auto request = GatewayFixture::Request(
    http::verb::get, "/safe/1", "id-" + std::to_string(aNumber));
  request.set(http::field::cookie, "X-Affinity-Key=" + std::to_string(aNumber));
  auto answer = co_await aFixture.Exchange(std::move(request));
  co_return answer;
}

} // namespace pollenway
