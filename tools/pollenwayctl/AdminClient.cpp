#include "AdminClient.h"

#include "JsonParse.h"
#include "RequestTarget.h"
#include "Spawn.h"

#include <boost/asio/steady_timer.hpp>

namespace pollenway {

namespace {

/// The state of an instance with many links is smaller than 1 MiB.
constexpr size_t kMaxAnswerBytes = 16 * 1024 * 1024;

HttpClientPoolOptions PoolOptions(Duration aTimeout)
{
  HttpClientPoolOptions options;
  options.mConnectTimeout = aTimeout;
  return options;
}

} // namespace

Result<IpEndpoint> ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  std::string address(aText.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  ErrorCode ec;
  asio::ip::make_address(address, ec);
  const auto port = colon == std::string_view::npos
                      ? std::nullopt
                      : ParseNumber(aText.substr(colon + 1));
  if (ec || !port || *port == 0 || *port > 65535) {
    return Error{ ResultCode::OutOfRange,
                  Quoted(aText) + " is not ADDRESS:PORT",
                  {} };
  }
  return IpEndpoint{ .mAddress = address, .mPort = uint16_t(*port) };
}

Result<std::vector<IpEndpoint>> ParseEndpointList(std::string_view aText)
{
  std::vector<IpEndpoint> endpoints;
  while (!aText.empty()) {
    const size_t comma = aText.find(',');
    auto endpoint = ParseEndpoint(aText.substr(0, comma));
    if (!endpoint) {
      return endpoint.error();
    }
    endpoints.push_back(std::move(endpoint.value()));
    aText.remove_prefix(comma == std::string_view::npos ? aText.size()
                                                        : comma + 1);
  }
  return endpoints;
}

std::string TextOf(const IpEndpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.mAddress.find(':') != std::string::npos;
  return (isV6 ? "[" + aEndpoint.mAddress + "]" : aEndpoint.mAddress) + ":" +
         std::to_string(aEndpoint.mPort);
}

AdminClient::AdminClient(asio::any_io_executor aExecutor, Duration aTimeout)
  : mExecutor(aExecutor)
  , mTimeout(aTimeout)
  , mPool(aExecutor, PoolOptions(aTimeout))
{
}

Awaitable<Result<std::string>> AdminClient::Call(IpEndpoint aEndpoint,
                                                 TextRequest aRequest)
{
  const tcp::endpoint endpoint(asio::ip::make_address(aEndpoint.mAddress),
                               aEndpoint.mPort);
  aRequest.set(http::field::host, TextOf(aEndpoint));
  aRequest.prepare_payload();
  auto answer = co_await mPool.Exchange(
    endpoint, std::move(aRequest), mTimeout, kMaxAnswerBytes);
  if (!answer) {
    co_return Error{ ResultCode::PeerUnavailable,
                     answer.error().mDetail,
                     TextOf(aEndpoint) };
  }
  const unsigned status = answer.value().result_int();
  if (status != 200) {
    co_return Error{ status == 404 ? ResultCode::NotFound
                                   : ResultCode::BadRequest,
                     "the instance answered with status " +
                       std::to_string(status) + ": " +
                       Quoted(answer.value().body()),
                     TextOf(aEndpoint) };
  }
  co_return std::move(answer.value().body());
}

Awaitable<Result<std::string>> AdminClient::Get(IpEndpoint aEndpoint,
                                                std::string aPath)
{
  TextRequest request(http::verb::get, aPath, 11);
  auto answer = co_await Call(aEndpoint, std::move(request));
  co_return answer;
}

Awaitable<Result<std::string>> AdminClient::Post(IpEndpoint aEndpoint,
                                                 std::string aPath,
                                                 std::string aBody)
{
  TextRequest request(http::verb::post, aPath, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(aBody);
  auto answer = co_await Call(aEndpoint, std::move(request));
  co_return answer;
}

Awaitable<std::vector<Result<std::string>>> AdminClient::PostToAll(
  std::vector<IpEndpoint> aEndpoints,
  std::string aPath,
  std::string aBody)
{
  std::vector<std::optional<Result<std::string>>> results(aEndpoints.size());
  size_t pending = aEndpoints.size();
  asio::steady_timer allDone(mExecutor, asio::steady_timer::time_point::max());
  const auto post = [&](size_t aIndex) -> Awaitable<void> {
    auto answer = co_await Post(aEndpoints[aIndex], aPath, aBody);
    results[aIndex].emplace(std::move(answer));
    if (--pending == 0) {
      allDone.cancel();
    }
  };
  for (size_t n = 0; n < aEndpoints.size(); ++n) {
    Spawn(mExecutor, post(n));
  }
  while (pending > 0) {
    ErrorCode ec;
    co_await allDone.async_wait(Into(ec));
  }
  std::vector<Result<std::string>> answers;
  for (auto& it : results) {
    answers.push_back(std::move(*it));
  }
  co_return answers;
}

} // namespace pollenway
