#include "PeerTransport.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace pollenway;

namespace {

InstanceInfo Instance(const char* aName, Incarnation aIncarnation)
{
  InstanceInfo out;
  out.mName = InstanceName(aName);
  out.mIncarnation = aIncarnation;
  return out;
}

} // namespace

// Guards against discarding replies to a leaving instance because no zone view
// lists its address, which prevented it from exiting.
TEST_CASE("a reply reaches a sender whose address is not known")
{
  const IpEndpoint primaryEndpoint{ "127.47.0.1", 47070 };
  asio::io_context io;
  std::string received;
  PeerTransport leaving(
    io.get_executor(),
    Instance("leaving", 7),
    [&](PeerMessage aMessage) -> Awaitable<std::optional<PeerBody>> {
      received = std::get<peer::ObjectChanged>(aMessage.mBody).mName;
      io.stop();
      co_return std::nullopt;
    });
  PeerTransport* replier = nullptr;
  PeerTransport primary(
    io.get_executor(),
    Instance("primary", 8),
    [&](PeerMessage aMessage) -> Awaitable<std::optional<PeerBody>> {
      replier->NotifySender(aMessage.mSender,
                            peer::ObjectChanged{ "kind", "reply", 1, "" },
                            aMessage.mIncarnation);
      co_return std::nullopt;
    });
  replier = &primary;
  REQUIRE(primary.Listen(primaryEndpoint.mAddress, primaryEndpoint.mPort));
  leaving.Notify(
    primaryEndpoint, peer::ObjectChanged{ "kind", "report", 1, "" }, 8);
  io.run_for(std::chrono::seconds(10));
  CHECK(received == "reply");
}
