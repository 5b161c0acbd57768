#include "HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace pollenway;

namespace {

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

// Guards against handling a request whose connection was closed as idle after
// its bytes were read. The caller assumes that the request was not read and
// resends it. This lost a request after SIGTERM.
TEST_CASE("a request on a connection that was closed is not handled")
{
  asio::io_context io;
  int handled = 0;
  tcp::socket client(io);
  std::optional<HttpServer> server;
  server.emplace(
    io.get_executor(),
    HttpLimits(),
    [&](HttpConnection& aConnection) -> Awaitable<void> {
      ++handled;
      // The next request arrives before this one is answered.
      ErrorCode ec;
      asio::write(client, asio::buffer(kRequest, sizeof(kRequest) - 1), ec);
      asio::steady_timer timer(io, std::chrono::milliseconds(50));
      co_await timer.async_wait(Into(ec));
      co_await aConnection.Write(TextResponse(http::status::ok, 11));
      asio::post(io, [&] { server->StopGracefully(); });
    });
  REQUIRE(server->Listen("127.0.0.1", 0));
  client.connect({ asio::ip::make_address("127.0.0.1"), server->Port() });
  asio::write(client, asio::buffer(kRequest, sizeof(kRequest) - 1));
  io.run_for(std::chrono::seconds(2));
  CHECK(handled == 1);
}
