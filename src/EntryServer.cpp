#include "EntryServer.h"

#include "InventoryReader.h"
#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

#include <nlohmann/json.hpp>

#include <random>

namespace pollenway {

namespace {

constexpr auto kSyncInterval = std::chrono::milliseconds(500);
constexpr auto kStoreTimeout = std::chrono::seconds(2);
constexpr size_t kStoreAnswerBytes = 64 * 1024 * 1024;

FleetState MakeFleetState(EntrySettings aSettings)
{
  std::random_device device;
  const uint64_t drawn = (uint64_t(device()) << 32) | device();
  FleetState out;
  out.mSelf = { .mName = aSettings.mName,
                .mIncarnation = drawn,
                .mZone = aSettings.mZone,
                .mAddress = aSettings.mAddress,
                .mCallerPort = aSettings.mCallerPort,
                .mPeerPort = aSettings.mPeerPort,
                .mRelayPort = aSettings.mRelayPort };
  out.mRandom = Random(aSettings.mRandomSeed.value_or(drawn));
  out.mSettings = std::move(aSettings);
  return out;
}

ForwarderOptions MakeForwarderOptions(const EntrySettings& aSettings)
{
  return { .mAnswerBufferBytes = aSettings.mMaxBufferedAnswerBytes };
}

} // namespace

EntryServer::EntryServer(asio::io_context& aIo, EntrySettings aSettings)
  : mIo(aIo)
  , mFleet(MakeFleetState(std::move(aSettings)))
  , mStorePool(aIo.get_executor(), {})
  , mDispatcher(aIo.get_executor(),
                mFleet,
                MakeForwarderOptions(mFleet.mSettings))
  , mFrontend(aIo.get_executor(),
              mFleet,
              mDispatcher,
              MakeForwarderOptions(mFleet.mSettings))
  , mRelayServer(aIo.get_executor(), mFleet, mDispatcher)
  , mSyncTimer(aIo)
{
}

Result<void> EntryServer::Start()
{
  BOOST_OUTCOME_TRYV(mFrontend.Listen());
  BOOST_OUTCOME_TRYV(mRelayServer.Listen());
  Spawn(mIo, SyncLoop());
  Log(LogLevel::Info,
      "started",
      { { "instance", mFleet.mSelf.mName.Text() },
        { "zone", mFleet.mSelf.mZone.Text() },
        { "address", mFleet.mSelf.mAddress },
        { "caller_port", mFleet.mSelf.mCallerPort },
        { "incarnation", mFleet.mSelf.mIncarnation } });
  return outcome::success();
}

void EntryServer::Stop()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  mFleet.mLeaving = true;
  Log(LogLevel::Info,
      "stopping",
      { { "busy_connections", mFrontend.Server().BusyConnections() } });
  Spawn(mIo, StopLoop());
}

Awaitable<void> EntryServer::StopLoop()
{
  const TimePoint limit = SteadyNow() + mFleet.mSettings.mDrainTimeout;
  mSyncTimer.cancel();
  mFrontend.Server().StopGracefully();
  asio::steady_timer timer(mIo);
  for (;;) {
    const size_t busy = mFrontend.Server().BusyConnections() +
                        mRelayServer.Server().BusyConnections();
    if (busy == 0 || SteadyNow() >= limit) {
      break;
    }
    timer.expires_after(std::chrono::milliseconds(20));
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
  }
  mFrontend.Server().Abort();
  mRelayServer.Server().Abort();
  Log(LogLevel::Info, "stopped");
  mIo.stop();
}

Awaitable<Result<TextResponse>> EntryServer::CallStore(http::verb aVerb,
                                                       std::string aTarget,
                                                       std::string aBody)
{
  const auto& platform = mFleet.mSettings.mPlatform;
  const tcp::endpoint endpoint(asio::ip::make_address(platform.mAddress),
                               platform.mPort);
  TextRequest request(aVerb, aTarget, 11);
  request.set(http::field::host, platform.mAddress);
  request.body() = std::move(aBody);
  auto answer = co_await mStorePool.Exchange(
    endpoint, std::move(request), kStoreTimeout, kStoreAnswerBytes);
  co_return answer;
}

Awaitable<void> EntryServer::SyncLoop()
{
  while (!mStopping) {
    co_await SyncOnce();
    mSyncTimer.expires_after(kSyncInterval);
    ErrorCode ec;
    co_await mSyncTimer.async_wait(Into(ec));
  }
}

Awaitable<void> EntryServer::SyncOnce()
{
  const auto& self = mFleet.mSelf;
  const nlohmann::json value = {
    { "incarnation", self.mIncarnation }, { "zone", self.mZone.Text() },
    { "address", self.mAddress },         { "caller_port", self.mCallerPort },
    { "peer_port", self.mPeerPort },      { "relay_port", self.mRelayPort }
  };
  auto put = co_await CallStore(
    http::verb::put, "/v1/objects/instance/" + self.mName.Text(), value.dump());
  auto listed =
    co_await CallStore(http::verb::get, "/v1/objects/instance", std::string());
  if (listed && listed.value().result() == http::status::ok) {
    std::map<ZoneName, std::vector<InstanceInfo>> zones;
    const auto list = nlohmann::json::parse(listed.value().body());
    for (const auto& it : list) {
      const auto fields =
        nlohmann::json::parse(it.at("value").get<std::string>());
      const ZoneName zone(fields.at("zone").get<std::string>());
      zones[zone].push_back(
        { .mName = InstanceName(it.at("name").get<std::string>()),
          .mIncarnation = fields.at("incarnation").get<uint64_t>(),
          .mZone = zone,
          .mAddress = fields.at("address").get<std::string>(),
          .mCallerPort = fields.at("caller_port").get<uint16_t>(),
          .mPeerPort = fields.at("peer_port").get<uint16_t>(),
          .mRelayPort = fields.at("relay_port").get<uint16_t>() });
    }
    for (auto& [zone, members] : zones) {
      mFleet.mDirectory.SetZone(zone, 0, std::move(members));
    }
  }
  auto current = co_await CallStore(
    http::verb::get, "/v1/objects/configuration/current", std::string());
  if (current && current.value().result() == http::status::ok) {
    ApplyConfiguration(current.value().body());
  }
  OnDirectoryChange();
}

void EntryServer::ApplyConfiguration(const std::string& aText)
{
  auto read = InventoryReader::Read(aText);
  if (!read) {
    const Error& first = read.error().front();
    Log(LogLevel::Error,
        "configuration_refused",
        { { "code", int(first.mCode) },
          { "path", first.mPath },
          { "detail", first.mDetail } });
    return;
  }
  if (mFleet.mInventory &&
      read.value().mGeneration <= mFleet.mInventory->mGeneration) {
    return;
  }
  mFleet.mInventory =
    std::make_shared<const Inventory>(std::move(read.value()));
  Log(LogLevel::Info,
      "configuration_applied",
      { { "generation", mFleet.mInventory->mGeneration } });
  mFrontend.OnInventory();
}

void EntryServer::OnDirectoryChange()
{
  const auto inventory = mFleet.mInventory;
  if (!inventory) {
    return;
  }
  const TimePoint now = SteadyNow();
  for (const auto& it : inventory->mTargets) {
    const Place* place = inventory->FindPlace(it.mPlace);
    const auto* owner =
      mFleet.mDirectory.OwnerOf(place->mZone, it.mName.Text());
    if (!owner || owner->mName != mFleet.mSelf.mName) {
      continue;
    }
    const auto* service = inventory->FindService(it.mService);
    const bool isNew =
      mDispatcher.Slots().State(it.mName, now) == SlotState::NotOwned;
    mDispatcher.Slots().SetTarget(
      it.mName,
      { .mSlots = it.mSlots,
        .mConnections = it.mConnections,
        .mState = std::max(it.mState, place->mState),
        .mTimeout = service->mTimeout });
    if (isNew) {
      mDispatcher.Slots().TakeOverUnused(it.mName);
    }
  }
}

} // namespace pollenway
