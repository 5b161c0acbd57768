#include "AccountClient.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against an instance that refuses all requests of a workspace while the
// local owner is unreachable, although other zones' owners have tokens
// (bench/faults store-outage, seed 1).
TEST_CASE("an instance asks another zone while the local owner is unreachable")
{
  TimePoint now{ std::chrono::seconds(50) };
  const ZoneName own("akl-a");
  const ZoneName other("akl-b");
  AccountClient client(InstanceName("akl-a-1"), own, {});
  auto decision = client.Admit(now);
  REQUIRE(decision.mVerdict == AccountClient::Verdict::Ask);
  CHECK(decision.mTo == own);
  AdmitReply unavailable;
  unavailable.mId = decision.mRequest.mId;
  unavailable.mCode = ResultCode::LimitOwnerUnavailable;
  decision = client.OnReply(unavailable, now);
  CHECK(decision.mCode == ResultCode::LimitOwnerUnavailable);

  client.RerouteTo(other, std::chrono::milliseconds(41), now);
  decision = client.Admit(now);
  REQUIRE(decision.mVerdict == AccountClient::Verdict::Ask);
  CHECK(decision.mTo == other);
  CHECK(decision.mRequest.mValidity == std::chrono::milliseconds(41));
  AdmitReply granted;
  granted.mId = decision.mRequest.mId;
  granted.mCode = ResultCode::Ok;
  granted.mGranted = 1;
  now += std::chrono::milliseconds(30);
  decision = client.OnReply(granted, now);
  CHECK(decision.mVerdict == AccountClient::Verdict::Granted);

  // The local owner is tried again after mRerouteTime.
  now += std::chrono::seconds(3);
  CHECK(client.Admit(now).mTo == own);
}
