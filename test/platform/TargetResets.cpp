#include "RawTargetFixture.h"

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using Connection = RawTarget::Connection;

/// More than the socket buffers of a connection hold, so that the request is
/// still being written when the answer ends.
constexpr size_t kLongUploadBytes = 12'000'000;
constexpr size_t kShortUploadBytes = 900'000;
/// Parts of an answer below and above the size from which the gateway passes it
/// on in pieces.
constexpr size_t kShortPartBytes = 20'000;
constexpr size_t kLongPartBytes = 700'000;
constexpr int kRounds = 4;

std::string ChunkSize(size_t aBytes)
{
  char out[24];
  std::snprintf(out, sizeof(out), "%zx\r\n", aBytes);
  return out;
}

nlohmann::json ConfigurationForUploads(const GatewayFixture& aFixture)
{
  auto out = aFixture.Configuration("00000006");
  out["limits"]["maxBodyBytes"] = 2 * kLongUploadBytes;
  return out;
}

/// Reads the rest of an upload. Returns false if the gateway closed.
Awaitable<bool> ReadUpload(Connection& aConnection, size_t aBytes)
{
  static char buf[64 * 1024];
  while (aBytes > 0) {
    ErrorCode ec;
    const size_t n = co_await aConnection.mSocket.async_read_some(
      asio::buffer(buf, std::min(sizeof(buf), aBytes)), Into(ec));
    if (ec) {
      co_return false;
    }
    aBytes -= n;
  }
  co_return true;
}

} // namespace

// Guards against a caller that takes a part of an answer for the whole: an
// answer without a length ends with its connection, and the write of a long
// upload takes the reset, so that reading sees an orderly end.
TEST_CASE("an answer that a reset cuts during an upload is not complete")
{
  struct Row
  {
    std::string mFraming;
    size_t mUploadBytes;
    size_t mPartBytes;
    std::chrono::milliseconds mPause;
  };
  std::vector<Row> rows;
  for (const size_t upload : { kShortUploadBytes, kLongUploadBytes }) {
    for (const size_t part : { kShortPartBytes, kLongPartBytes }) {
      for (const auto pause : { 0ms, 30ms }) {
        rows.push_back({ "\r\n", upload, part, pause });
        rows.push_back(
          { "Content-Length: 900000\r\n\r\n", upload, part, pause });
        rows.push_back({ "Transfer-Encoding: chunked\r\n\r\n" + ChunkSize(part),
                         upload,
                         part,
                         pause });
      }
    }
  }
  const Row* row = nullptr;
  int received = 0;
  RunWithRawTarget(
    [&](Connection& aConnection) -> Awaitable<void> {
      const std::string request = co_await aConnection.ReadRequest();
      if (request.empty()) {
        co_return;
      }
      ++received;
      co_await aConnection.Write(RawTarget::Head(request) + row->mFraming +
                                 std::string(row->mPartBytes, 'b'));
      if (row->mPause > 0ms) {
        co_await aConnection.Pause(row->mPause);
      }
      aConnection.Reset();
    },
    [&](GatewayFixture& aFixture, RawTarget& aTarget) -> Awaitable<void> {
      aFixture.mStoreServer.Set(
        "config", "main", ConfigurationForUploads(aFixture));
      RegisterOften(aFixture, aTarget, 400);
      co_await aFixture.Pause(800ms);
      for (const auto& it : rows) {
        row = &it;
        CAPTURE(it.mFraming);
        CAPTURE(it.mUploadBytes);
        CAPTURE(it.mPartBytes);
        CAPTURE(ToSeconds(it.mPause));
        for (int n = 0; n < kRounds; ++n) {
          CAPTURE(n);
          const int before = received;
          const std::string id = "id-" + std::to_string(received);
          auto request =
            GatewayFixture::Request(http::verb::post, "/once/" + id, id);
          request.set(http::field::cookie, "X-Affinity-Key=" + id);
          request.body() = std::string(it.mUploadBytes, 'u');
          const auto outcome = co_await Ask(aFixture, std::move(request));
          CHECK_FALSE((outcome.mStatus / 100 == 2 && outcome.mIsComplete));
          CHECK((outcome.mStatus == 502 || outcome.mBytes > 0));
          CHECK(received == before + 1);
        }
      }
    });
}

// Guards against a whole answer that is refused because it has no length: the
// target ends its side of the connection after the answer, when it has read the
// upload, while the upload is still being written, or shortly before it resets
// the connection.
TEST_CASE("an answer that ends properly during an upload is complete")
{
  enum class End
  {
    AfterUpload,
    BeforeUpload,
    BeforeReset,
  };
  struct Row
  {
    End mEnd;
    size_t mBodyBytes;
  };
  const Row rows[] = { { End::AfterUpload, kShortPartBytes },
                       { End::AfterUpload, kLongPartBytes },
                       { End::BeforeUpload, kShortPartBytes },
                       { End::BeforeUpload, kLongPartBytes },
                       { End::BeforeReset, kShortPartBytes } };
  for (const auto& row : rows) {
    CAPTURE(int(row.mEnd));
    CAPTURE(row.mBodyBytes);
    RunWithRawTarget(
      [&](Connection& aConnection) -> Awaitable<void> {
        const std::string request = co_await aConnection.ReadRequest();
        if (request.empty()) {
          co_return;
        }
        if (row.mEnd == End::AfterUpload) {
          const bool isWhole =
            co_await ReadUpload(aConnection, kLongUploadBytes);
          CHECK(isWhole);
        }
        co_await aConnection.Write(RawTarget::Head(request) + "\r\n" +
                                   std::string(row.mBodyBytes, 'b'));
        ErrorCode ec;
        aConnection.mSocket.shutdown(tcp::socket::shutdown_send, ec);
        if (row.mEnd == End::BeforeReset) {
          // The gateway sees both ends at once.
          aConnection.Reset();
          co_return;
        }
        co_await ReadUpload(aConnection, kLongUploadBytes);
      },
      [&](GatewayFixture& aFixture, RawTarget&) -> Awaitable<void> {
        aFixture.mStoreServer.Set(
          "config", "main", ConfigurationForUploads(aFixture));
        co_await aFixture.Pause(800ms);
        for (int n = 0; n < kRounds; ++n) {
          auto request = GatewayFixture::Request(
            http::verb::post, "/once/a", "id-" + std::to_string(n));
          request.body() = std::string(kLongUploadBytes, 'u');
          const auto outcome = co_await Ask(aFixture, std::move(request));
          CHECK(outcome.mStatus == 200);
          CHECK(outcome.mIsComplete);
          CHECK(outcome.mBytes == row.mBodyBytes);
        }
      });
  }
}
