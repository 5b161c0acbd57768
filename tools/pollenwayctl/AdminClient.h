#pragma once

#include "HttpClientPool.h"
#include "IpEndpoint.h"

#include <vector>

namespace pollenway {

/// Parses "ADDRESS:PORT"; an IPv6 address is in brackets. Fails with
/// `OutOfRange`.
Result<IpEndpoint> ParseEndpoint(std::string_view aText);

/// Parses "ADDRESS:PORT,ADDRESS:PORT"; an empty text is an empty list.
Result<std::vector<IpEndpoint>> ParseEndpointList(std::string_view aText);

/// Returns "ADDRESS:PORT", with an IPv6 address in brackets.
std::string TextOf(const IpEndpoint& aEndpoint);

/// Calls the admin ports of entry instances.
class AdminClient
{
public:
  AdminClient(asio::any_io_executor aExecutor, Duration aTimeout);

  /// Returns the body of the answer. Fails with `PeerUnavailable` if there is
  /// no answer, and with `NotFound` or `BadRequest` if the instance refuses;
  /// the error's path is the endpoint.
  Awaitable<Result<std::string>> Get(IpEndpoint aEndpoint, std::string aPath);
  Awaitable<Result<std::string>> Post(IpEndpoint aEndpoint,
                                      std::string aPath,
                                      std::string aBody);

  /// Posts to all endpoints concurrently. Answers are in the order of the
  /// endpoints.
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
