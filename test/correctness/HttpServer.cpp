#include "HttpServer.h"

#include "HttpClientPool.h"
#include "Spawn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <list>
#include <string>
#include <vector>

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

// Guards against callers that wait in the queue of the listening socket while a
// busy event loop accepts one of them in each round, and against a server that
// takes the sockets which its own connections need.
TEST_CASE("waiting connections are accepted together, up to the limit")
{
  struct Row
  {
    size_t mWaiting;
    size_t mMaxConnections;
    size_t mAccepted;
  };
  const Row rows[] = { { 20, 100, 20 }, { 20, 5, 5 }, { 1, 5, 1 } };
  for (const auto& row : rows) {
    CAPTURE(row.mWaiting);
    CAPTURE(row.mMaxConnections);
    asio::io_context io;
    HttpServer server(io.get_executor(), {}, EchoBody);
    server.SetMaxConnections(row.mMaxConnections);
    REQUIRE(server.Listen("127.0.0.1", 0));
    // Starts the accept; its completion is the next handler.
    io.poll();
    std::list<tcp::socket> callers;
    for (size_t n = 0; n < row.mWaiting; ++n) {
      callers.emplace_back(io).connect(
        { asio::ip::make_address("127.0.0.1"), server.Port() });
    }
    while (server.Connections() == 0) {
      io.poll_one();
    }
    CHECK(server.Connections() == row.mAccepted);
    io.run_for(std::chrono::milliseconds(100));
    CHECK(server.Connections() == row.mAccepted);
    // A closed connection makes room for the next one.
    callers.pop_front();
    io.run_for(std::chrono::milliseconds(200));
    const size_t left = row.mWaiting - 1;
    CHECK(server.Connections() == std::min(left, row.mMaxConnections));
    server.Abort();
    io.poll();
  }
}

// Guards against callers that wait for ever in the queue of the listening
// socket because others keep all connections open and send nothing, and against
// an idle caller that loses its connection while others have never sent a
// request.
TEST_CASE("a full server closes waiting connections for others")
{
  struct Row
  {
    bool mFirstIsServed;
    bool mSecondIsServed;
    /// Index of the connection that is closed for the third one.
    size_t mClosed;
  };
  const Row rows[] = {
    { false, false, 0 },
    { true, false, 1 },
    { false, true, 0 },
    { true, true, 0 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mFirstIsServed);
    CAPTURE(row.mSecondIsServed);
    asio::io_context io;
    HttpServer server(io.get_executor(), {}, EchoBody);
    server.SetMaxConnections(2);
    REQUIRE(server.Listen("127.0.0.1", 0));
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 server.Port());
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<tcp::socket> callers;
    for (const bool isServed : { row.mFirstIsServed, row.mSecondIsServed }) {
      callers.emplace_back(io).connect(endpoint);
      if (isServed) {
        asio::write(callers.back(), asio::buffer(request));
      }
      io.run_for(std::chrono::milliseconds(50));
    }
    CHECK(server.Connections() == 2);
    // Only connections that have waited for a second are closed.
    io.run_for(std::chrono::milliseconds(1200));
    CHECK(server.ReplacedConnections() == 0);
    callers.emplace_back(io).connect(endpoint);
    asio::write(callers.back(), asio::buffer(request));
    io.run_for(std::chrono::milliseconds(200));
    CHECK(server.ReplacedConnections() == 1);
    for (size_t n = 0; n < callers.size(); ++n) {
      CAPTURE(n);
      callers[n].non_blocking(true);
      char buf[1024];
      ErrorCode ec;
      while (!ec) {
        callers[n].read_some(asio::buffer(buf), ec);
      }
      CHECK((ec != asio::error::would_block) == (n == row.mClosed));
    }
    server.Abort();
    io.poll();
  }
}

namespace {

/// More than the kernel buffers.
constexpr size_t kUnreadBytes = 32 << 20;

enum class Load
{
  /// The next request follows each answer.
  InTurn,
  /// Requests follow each other without a wait for answers.
  Pipelined,
  /// As before; answers are long and are not read.
  Unread,
};

Awaitable<void> ReadAnswers(tcp::socket& aCaller)
{
  ErrorCode ec;
  char buf[4096];
  while (!ec) {
    co_await aCaller.async_read_some(asio::buffer(buf), Into(ec));
  }
}

/// Sends requests until `aIsDone` or the connection ends.
Awaitable<void> KeepBusy(tcp::socket& aCaller, Load aLoad, const bool& aIsDone)
{
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  ErrorCode ec;
  char buf[4096];
  while (!ec && !aIsDone) {
    co_await asio::async_write(aCaller, asio::buffer(request), Into(ec));
    if (aLoad == Load::InTurn && !ec) {
      co_await aCaller.async_read_some(asio::buffer(buf), Into(ec));
    }
  }
}

} // namespace

// Guards against callers that wait for ever in the queue of the listening
// socket because those on all connections always have a next request, or take
// no answers.
TEST_CASE("a full server ends busy connections for others")
{
  for (const auto load : { Load::InTurn, Load::Pipelined, Load::Unread }) {
    CAPTURE(int(load));
    asio::io_context io;
    const std::string body(load == Load::Unread ? kUnreadBytes : 1, 'b');
    HttpServer server(io.get_executor(),
                      {},
                      [&](HttpConnection& aConnection) -> Awaitable<void> {
                        TextResponse answer(http::status::ok, 11);
                        answer.body() = body;
                        co_await aConnection.Write(std::move(answer));
                      });
    server.SetMaxConnections(2);
    REQUIRE(server.Listen("127.0.0.1", 0));
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 server.Port());
    bool isDone = false;
    std::list<tcp::socket> busy;
    for (int n = 0; n < 2; ++n) {
      auto& caller = busy.emplace_back(io);
      caller.connect(endpoint);
      Spawn(io, KeepBusy(caller, load, isDone));
      if (load == Load::Pipelined) {
        Spawn(io, ReadAnswers(caller));
      }
    }
    io.run_for(std::chrono::milliseconds(1500));
    // Nobody waits, so no connection is closed.
    CHECK(server.Connections() == 2);
    CHECK(server.ReplacedConnections() == 0);
    tcp::socket other(io);
    other.connect(endpoint);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(other, asio::buffer(request));
    std::string answer(12, '\0');
    Spawn(io, [&]() -> Awaitable<void> {
      ErrorCode ec;
      co_await asio::async_read(other, asio::buffer(answer), Into(ec));
      isDone = true;
    });
    for (int n = 0; n < 100 && !isDone; ++n) {
      io.run_for(std::chrono::milliseconds(100));
    }
    CHECK(isDone);
    CHECK(answer == "HTTP/1.1 200");
    CHECK(server.ReplacedConnections() > 0);
    isDone = true;
    server.Abort();
    io.run_for(std::chrono::milliseconds(100));
  }
}
