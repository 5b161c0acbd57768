#pragma once

#include "HttpClientPool.h"
#include "IpEndpoint.h"

#include <vector>

namespace pollenway {

/// Reads "ADDRESS:PORT"; an IPv6 address is in brackets. `OutOfRange`.
Result<IpEndpoint> ParseEndpoint(std::string_view aText);

/// Reads "ADDRESS:PORT,ADDRESS:PORT"; empty text gives none.
Result<std::vector<IpEndpoint>> ParseEndpointList(std::string_view aText);

/// "ADDRESS:PORT", with an IPv6 address in brackets.
std::string TextOf(const IpEndpoint& aEndpoint);

/// Calls the admin ports of entry instances.
class AdminClient
{
public:
  AdminClient(asio::any_io_executor aExecutor, Duration aTimeout);

  /// The body of the answer. `PeerUnavailable` without an answer, `NotFound`
  /// or `BadRequest` if the instance refused; the error's path is the endpoint.
  Awaitable<Result<std::string>> Get(IpEndpoint aEndpoint, std::string aPath);
  Awaitable<Result<std::string>> Post(IpEndpoint aEndpoint,
                                      std::string aPath,
                                      std::string aBody);

  /// Posts to all endpoints at once; the answers are in the same order.
  Awaitable<std::vector<Result<std::string>>> PostToAll(
    std::vector<IpEndpoint> aEndpoints,
    std::string aPath,
    std::string aBody);

private:
  Awaitable<Result<std::string>> Call(IpEndpoint aEndpoint,
                                      TextRequest aRequest);

  asio::any_io_executor mExecutor;
  Duration mTimeout;
  HttpClientPool mPool;
};

} // namespace pollenway
