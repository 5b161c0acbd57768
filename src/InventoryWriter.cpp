#include "InventoryWriter.h"

#include "InventoryTexts.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

using Json = nlohmann::ordered_json;

int64_t Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

Json ToJson(const Region& aRegion)
{
  Json zones = Json::array();
  for (const auto& it : aRegion.mZones) {
    zones.push_back(it.Text());
  }
  return { { "name", aRegion.mName.Text() },
           { "zones", zones },
           { "capacity_rps", aRegion.mCapacity } };
}

Json ToJson(const RegionLink& aLink)
{
  return { { "from", aLink.mFrom.Text() },
           { "to", aLink.mTo.Text() },
           { "bits_per_second", aLink.mBitsPerSecond },
           { "latency_ms", aLink.mLatencyMs } };
}

Json ToJson(const Place& aPlace)
{
  Json result{ { "name", aPlace.mName.Text() },
               { "zone", aPlace.mZone.Text() },
               { "state", TextOf(kLifecycleTexts, aPlace.mState) } };
  if (!aPlace.mSuccessor.IsEmpty()) {
    result["successor"] = aPlace.mSuccessor.Text();
  }
  return result;
}

Json ToJson(const Route& aRoute)
{
  Json result{ { "path_prefix", aRoute.mPathPrefix } };
  if (!aRoute.mMethods.empty()) {
    result["methods"] = aRoute.mMethods;
  }
  result["access"] = TextOf(kRouteAccessTexts, aRoute.mAccess);
  result["execution"] = TextOf(kRouteExecutionTexts, aRoute.mExecution);
  return result;
}

template<typename Element>
Json ToJson(const std::vector<Element>& aElements);

Json ToJson(const Service& aService)
{
  return { { "name", aService.mName.Text() },
           { "timeout_ms", Milliseconds(aService.mTimeout) },
           { "lookup_ttl_ms", Milliseconds(aService.mLookupTtl) },
           { "idle_timeout_ms", Milliseconds(aService.mIdleTimeout) },
           { "queue_limit", aService.mQueueLimit },
           { "routes", ToJson(aService.mRoutes) } };
}

Json ToJson(const Target& aTarget)
{
  return { { "name", aTarget.mName.Text() },
           { "service", aTarget.mService.Text() },
           { "place", aTarget.mPlace.Text() },
           { "address", aTarget.mAddress },
           { "port", aTarget.mPort },
           { "slots", aTarget.mSlots },
           { "connections", aTarget.mConnections },
           { "state", TextOf(kLifecycleTexts, aTarget.mState) } };
}

Json ToJson(const Workspace& aWorkspace)
{
  return { { "name", aWorkspace.mName.Text() },
           { "rate", aWorkspace.mRate },
           { "burst", aWorkspace.mBurst },
           { "weight", aWorkspace.mWeight } };
}

Json ToJson(const TenantKey& aKey)
{
  return { { "id", aKey.mId.Text() },
           { "workspace", aKey.mWorkspace.Text() },
           { "digest", aKey.mDigest },
           { "withdrawn", aKey.mWithdrawn } };
}

Json ToJson(const ClientBlock& aBlock)
{
  return { { "prefix", aBlock.mPrefix }, { "region", aBlock.mRegion.Text() } };
}

Json ToJson(const ShiftDeclaration& aShift)
{
  Json result{ { "name", aShift.mName.Text() },
               { "service", aShift.mService.Text() },
               { "from", aShift.mFrom.Text() },
               { "to", aShift.mTo.Text() },
               { "share", aShift.mShare },
               { "step_cap", aShift.mStepCap },
               { "rate_cap", aShift.mRateCap },
               { "final_share", aShift.mFinalShare },
               { "pace_ms", Milliseconds(aShift.mPace) },
               { "max_error_share", aShift.mMaxErrorShare },
               { "min_headroom", aShift.mMinHeadroom },
               { "state", TextOf(kShiftStateTexts, aShift.mState) } };
  if (!aShift.mReason.empty()) {
    result["reason"] = aShift.mReason;
  }
  return result;
}

template<typename Element>
Json ToJson(const std::vector<Element>& aElements)
{
  Json result = Json::array();
  for (const auto& it : aElements) {
    result.push_back(ToJson(it));
  }
  return result;
}

} // namespace

std::string InventoryWriter::Write(const Inventory& aInventory)
{
  const Json document{
    { "generation", aInventory.mGeneration },
    { "regions", ToJson(aInventory.mRegions) },
    { "links", ToJson(aInventory.mLinks) },
    { "places", ToJson(aInventory.mPlaces) },
    { "services", ToJson(aInventory.mServices) },
    { "targets", ToJson(aInventory.mTargets) },
    { "workspaces", ToJson(aInventory.mWorkspaces) },
    { "keys", ToJson(aInventory.mKeys) },
    { "client_blocks", ToJson(aInventory.mClientBlocks) },
    { "shifts", ToJson(aInventory.mShifts) },
  };
  return document.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace pollenway
