#include "HttpClientConnection.h"

#include "RawTarget.h"
#include "RunCoroutine.h"

#include <vector>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTime = 5s;

/// The ways in which users of a connection send a request and read the answer's
/// header.
enum class Sequence
{
  WriteThenRead,
  WriteWhileReading,
  ReadInterim,
};

Awaitable<ErrorCode> ReadAnswerHeader(HttpClientConnection& aConnection,
                                      Sequence aSequence)
{
  const auto request =
    std::make_shared<const SharedRequest>(http::verb::get, "/", 11);
  if (aSequence == Sequence::WriteWhileReading) {
    const ErrorCode ec =
      co_await aConnection.WriteAndReadHeader(request, kTime);
    co_return ec;
  }
  TextRequest copy(request->base());
  ErrorCode ec = co_await aConnection.Write(std::move(copy), kTime);
  REQUIRE_FALSE(ec);
  if (aSequence == Sequence::ReadInterim) {
    ec = co_await aConnection.ReadInterimHeader(kTime);
  } else {
    ec = co_await aConnection.ReadHeader(kTime);
  }
  co_return ec;
}

} // namespace

// Guards against a header that is no answer, or not the final one, and is
// handed to whoever reads from a target, another instance or the store.
TEST_CASE("a header with a status out of range is an error")
{
  struct Row
  {
    std::string mStatuses;
    unsigned mFinalStatus;
  };
  const Row rows[] = {
    { "000", 0 },       { "099", 0 },           { "101", 0 },   { "600", 0 },
    { "999", 0 },       { "103 000", 0 },       { "200", 200 }, { "599", 599 },
    { "103 200", 200 }, { "103 199 404", 404 },
  };
  for (const auto& row : rows) {
    for (const auto sequence : { Sequence::WriteThenRead,
                                 Sequence::WriteWhileReading,
                                 Sequence::ReadInterim }) {
      CAPTURE(row.mStatuses);
      CAPTURE(int(sequence));
      asio::io_context io;
      RawTarget server(
        io.get_executor(),
        [&](RawTarget::Connection& aConnection) -> Awaitable<void> {
          co_await aConnection.ReadRequest();
          std::string bytes;
          for (size_t n = 0; n < row.mStatuses.size(); n += 4) {
            bytes += "HTTP/1.1 " + row.mStatuses.substr(n, 3) + " Reason\r\n";
            bytes += n + 4 < row.mStatuses.size()
                       ? "\r\n"
                       : "Content-Length: 4\r\n\r\nbody";
          }
          co_await aConnection.Write(std::move(bytes));
          co_await aConnection.ReadRequest();
        });
      RunCoroutine(io, [&]() -> Awaitable<void> {
        HttpClientConnection connection(io.get_executor());
        const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                     server.Port());
        const auto connected = co_await connection.Connect(endpoint, kTime);
        REQUIRE(connected);
        const ErrorCode ec = co_await ReadAnswerHeader(connection, sequence);
        CHECK(bool(ec) == (row.mFinalStatus == 0));
        if (!ec) {
          CHECK(connection.Header().result_int() == row.mFinalStatus);
        }
        CHECK_FALSE((ec && connection.IsReusable()));
        connection.Close();
        server.Stop();
      });
    }
  }
}
