#include "GatewayDirectory.h"

#include "HttpHeaders.h"
#include "ListedInstances.h"
#include "Logger.h"
#include "SocketShares.h"
#include "SteadyTime.h"

namespace pollenway {

namespace {

using namespace std::chrono_literals;

/// Time for which callers may keep a look-up's answer, and thus the time within
/// which they learn that an instance has left. A longer time reduces the number
/// of look-ups.
constexpr Duration kAnswerTtl = 2s;

std::string_view View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

GatewayDirectory::GatewayDirectory(asio::any_io_executor aExecutor,
                                   State aState)
  : mState(std::move(aState))
  , mLookupServer(
      aExecutor,
      HttpLimits(),
      [this](HttpConnection& aConnection) { return HandleLookup(aConnection); })
  , mReadyServer(aExecutor, HttpLimits(), [this](HttpConnection& aConnection) {
    return HandleReady(aConnection);
  })
{
  const SocketShares shares(mState.mSettings.mMaxSockets);
  mLookupServer.SetMaxConnections(shares.mLookups);
  mReadyServer.SetMaxConnections(shares.mStatus);
}

Result<void> GatewayDirectory::Listen()
{
  const auto& settings = mState.mSettings;
  BOOST_OUTCOME_TRYV(mLookupServer.Listen(settings.mLookupEndpoint.mAddress,
                                          settings.mLookupEndpoint.mPort));
  return mReadyServer.Listen(settings.mReadyEndpoint.mAddress,
                             settings.mReadyEndpoint.mPort);
}

void GatewayDirectory::Stop()
{
  mLookupServer.Abort();
  mReadyServer.Abort();
}

std::vector<IpEndpoint> GatewayDirectory::InstancesFor(
  const LookupQuery& aQuery,
  TimePoint aNow) const
{
  std::vector<ListedInstance> candidates;
  const auto add = [&](const ZoneName& aZone,
                       const RegionName& aRegion,
                       const IpEndpoint& aEndpoint,
                       bool aReachesTargets) {
    const int distance = aZone == aQuery.mZone       ? 0
                         : aRegion == aQuery.mRegion ? 1
                                                     : 2;
    candidates.push_back({ aEndpoint, distance, aReachesTargets });
  };
  const auto& settings = mState.mSettings;
  if (mState.mIsReady()) {
    add(settings.mZone,
        settings.mRegion,
        settings.mCallerEndpoint,
        mState.mReachesTargets());
  }
  for (const auto* it : mState.mInstances.Live(aNow)) {
    if (it->mSummary.mReady) {
      add(it->mSummary.mZone,
          it->mSummary.mRegion,
          it->mSummary.mCaller,
          it->mSummary.mReachesTargets);
    }
  }
  for (const auto* zone : mState.mRemoteZones.LiveZones(aNow)) {
    for (const auto& it : zone->mCallerEndpoints) {
      add(zone->mZone, zone->mRegion, it, zone->mReachesTargets);
    }
  }
  return ChooseListedInstances(candidates);
}

Awaitable<void> GatewayDirectory::HandleLookup(HttpConnection& aConnection)
{
  auto query = mState.mPlatform.ReadLookup(View(aConnection.Header().target()));
  if (!query) {
    co_await aConnection.Write(
      MakeRefusal(query.error().mCode, query.error().mDetail));
    co_return;
  }
  const auto instances = InstancesFor(query.value(), SteadyNow());
  if (instances.empty()) {
    co_await aConnection.Write(
      MakeRefusal(ResultCode::NoHeadroom, "no instance is ready"));
    co_return;
  }
  const Duration ttl =
    std::min(kAnswerTtl, mState.mSettings.mBounds.mLookupTtl);
  co_await aConnection.Write(MakeJsonAnswer(
    http::status::ok, mState.mPlatform.WriteLookupAnswer(instances, ttl)));
}

Awaitable<void> GatewayDirectory::HandleReady(HttpConnection& aConnection)
{
  const bool isReadyPath =
    View(aConnection.Header().target()) == mState.mPlatform.ReadyPath();
  TextResponse answer(!isReadyPath        ? http::status::not_found
                      : mState.mIsReady() ? http::status::ok
                                          : http::status::service_unavailable,
                      11);
  co_await aConnection.Write(std::move(answer));
}

} // namespace pollenway
