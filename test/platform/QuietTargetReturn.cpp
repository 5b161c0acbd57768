#include "GatewayFixture.h"
#include "ObjectRequest.h"

#include <optional>

using namespace pollenway;
using namespace std::chrono_literals;

namespace {

using ReceivedRequest = TargetStandIn::ReceivedRequest;

} // namespace

// Guards against a target that stays without requests after its quiet time, and
// against requests that do not go to the other targets meanwhile.
TEST_CASE("a quiet target is replaced by others and returns at the end")
{
  GatewayFixture fixture(2);
  bool isQuietNext = false;
  std::optional<size_t> quiet;
  for (size_t n = 0; n < 2; ++n) {
    fixture.mTargets[n]->mBehaviour =
      [&, n](HttpConnection& aConnection,
             const ReceivedRequest& aRequest) -> Awaitable<bool> {
      if (!std::exchange(isQuietNext, false)) {
        co_return false;
      }
      quiet = n;
      auto answer =
        TargetStandIn::Answer(aRequest, http::status::service_unavailable);
      answer.set("X-Not-Executed", "1");
      answer.set(http::field::retry_after, "0.8");
      co_await aConnection.Write(std::move(answer));
      co_return true;
    };
  }
  fixture.Configure();
  fixture.Run([&]() -> Awaitable<void> {
    co_await fixture.Until([&] { return fixture.mServer->IsReady(); });
    // The run times of both targets are known from their answers.
    for (int n = 0; n < 12; ++n) {
      const auto answer = co_await Ask(fixture, n);
      CHECK(answer.result_int() == 200);
    }
    isQuietNext = true;
    const auto first = co_await Ask(fixture, 12);
    CHECK(first.result_int() == 200);
    const auto& received = fixture.mTargets[quiet.value()]->mReceived;
    const size_t receivedCount = received.size();
    const TimePoint begin = SteadyNow();
    for (int n = 0; SteadyNow() - begin < 700ms; ++n) {
      const auto answer = co_await Ask(fixture, n);
      CHECK(answer.result_int() == 200);
    }
    CHECK(received.size() == receivedCount);
    // The instance may return later by a quarter of the time.
    co_await fixture.Pause(400ms);
    for (int n = 0; n < 12; ++n) {
      const auto answer = co_await Ask(fixture, n);
      CHECK(answer.result_int() == 200);
    }
    CHECK(received.size() > receivedCount);
  });
}
