#include "HttpServer.h"

#include "HttpClientPool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace pollenway;

namespace {

Awaitable<void> EchoBody(HttpConnection& aConnection)
{
  auto body = co_await aConnection.ReadBody(1 << 20);
  TextResponse answer(http::status::ok, 11);
  answer.body() = body ? body.value() : "failed";
  co_await aConnection.Write(std::move(answer));
}

} // namespace

// Guards against lost, mixed up or truncated bodies on a persistent connection,
// for an empty body, a small one and one larger than the read buffer.
TEST_CASE("bodies survive the round trip on one connection")
{
  asio::io_context io;
  HttpServer server(io.get_executor(), {}, EchoBody);
  REQUIRE(server.Listen("127.0.0.1", 0));
  HttpClientPool pool(io.get_executor(), {});
  const size_t sizes[] = { 0, 5, 100'000 };
  size_t done = 0;
  asio::co_spawn(
    io,
    [&]() -> Awaitable<void> {
      const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                   server.Port());
      for (size_t n : sizes) {
        TextRequest request(http::verb::post, "/", 11);
        request.body() = std::string(n, char('a' + n % 7));
        const std::string sent = request.body();
        auto answer = co_await pool.Exchange(
          endpoint, std::move(request), std::chrono::seconds(5), 1 << 20);
        REQUIRE_MESSAGE(answer.has_value(),
                        (answer ? "" : answer.error().mDetail));
        CHECK(answer.value().body() == sent);
        ++done;
      }
      CHECK(server.Connections() == 1);
      server.StopGracefully();
    },
    asio::detached);
  io.run();
  CHECK(done == std::size(sizes));
}
