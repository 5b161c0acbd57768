#include "FleetView.h"

namespace pollenway {

const ZoneView* FleetView::Find(const ZoneName& aZone) const
{
  for (const auto& it : mZones) {
    if (it.mZone == aZone) {
      return &it;
    }
  }
  return nullptr;
}

std::string FleetView::StateOf(const InstanceName& aName) const
{
  const auto it = mPlatformStates.find(aName.Text());
  return it == mPlatformStates.end() ? "unlisted" : it->second;
}

ZoneName FleetView::ZoneOf(const std::string& aAddress) const
{
  for (const auto& zone : mZones) {
    for (const auto& it : zone.mMembers) {
      if (it.mAddress == aAddress) {
        return zone.mZone;
      }
    }
  }
  return {};
}

Awaitable<Result<FleetView>> ReadFleetView(ObjectStore& aStore)
{
  auto views = co_await aStore.List("zoneview", ReadFreshness::Current);
  if (!views) {
    co_return views.error();
  }
  auto listed = co_await aStore.ListInstances();
  if (!listed) {
    co_return listed.error();
  }
  FleetView fleet;
  for (const auto& it : views.value().mObjects) {
    auto view = ZoneViewFromJson(it.mValue);
    if (view) {
      fleet.mZones.push_back(std::move(view.value()));
    } else {
      fleet.mUnreadableZones.push_back(ZoneName(it.mName));
      Error error = view.error();
      error.mPath = "zoneview/" + it.mName + error.mPath;
      fleet.mErrors.push_back(std::move(error));
    }
  }
  for (const auto& it : listed.value()) {
    fleet.mPlatformStates[it.mName] = it.mState;
  }
  co_return fleet;
}

} // namespace pollenway
