#include "SocketShares.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against limits that add up to more than the sockets of a process, and
// against callers that leave none for targets.
TEST_CASE("the shares of the sockets leave some for targets")
{
  for (const size_t n : { 64, 400, 824, 2670, 7992 }) {
    CAPTURE(n);
    const SocketShares shares(n);
    CHECK(shares.mForwarding + shares.mPeers + shares.mLookups +
            2 * shares.mStatus <
          n);
    CHECK(shares.mCallers + shares.mRelayed + n / 8 <= shares.mForwarding);
    CHECK(shares.mStatus > 0);
  }
}
