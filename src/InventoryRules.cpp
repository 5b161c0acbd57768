#include "InventoryRules.h"

#include "JsonParse.h"
#include "NetworkPrefix.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace pollenway {

namespace {

class RuleCheck
{
public:
  explicit RuleCheck(const Inventory& aInventory)
    : mInventory(aInventory)
  {
  }

  std::vector<Error> Run()
  {
    CheckRegions();
    CheckLinks();
    CheckPlaces();
    CheckServices();
    CheckTargets();
    CheckWorkspaces();
    CheckKeys();
    CheckClientBlocks();
    CheckShifts();
    return std::move(mErrors);
  }

private:
  using Names = std::unordered_set<std::string>;

  void Fail(ResultCode aCode, std::string aPath, std::string aDetail)
  {
    mErrors.push_back({ aCode, std::move(aDetail), std::move(aPath) });
  }

  static std::string Path(const char* aList, size_t aIndex, const char* aField)
  {
    return "/" + std::string(aList) + "/" + std::to_string(aIndex) + "/" +
           aField;
  }

  void CheckUnique(Names& aSeen, const std::string& aText, std::string aPath)
  {
    if (!aText.empty() && !aSeen.insert(aText).second) {
      Fail(ResultCode::Duplicate,
           std::move(aPath),
           Quoted(aText) + " is already declared");
    }
  }

  void CheckDeclared(const Names& aNames,
                     const std::string& aText,
                     std::string aPath)
  {
    if (!aText.empty() && !aNames.contains(aText)) {
      Fail(ResultCode::UnknownReference,
           std::move(aPath),
           Quoted(aText) + " is not declared");
    }
  }

  void CheckDifferent(const RegionName& aFrom,
                      const RegionName& aTo,
                      std::string aPath)
  {
    if (!aFrom.IsEmpty() && aFrom == aTo) {
      Fail(ResultCode::Conflict,
           std::move(aPath),
           "must differ from the region in \"from\"");
    }
  }

  void CheckRegions()
  {
    for (size_t n = 0; n < mInventory.mRegions.size(); ++n) {
      const Region& it = mInventory.mRegions[n];
      CheckUnique(mRegions, it.mName.Text(), Path("regions", n, "name"));
      for (size_t zone = 0; zone < it.mZones.size(); ++zone) {
        CheckUnique(mZones,
                    it.mZones[zone].Text(),
                    Path("regions", n, "zones") + "/" + std::to_string(zone));
      }
    }
  }

  void CheckLinks()
  {
    Names pairs;
    for (size_t n = 0; n < mInventory.mLinks.size(); ++n) {
      const RegionLink& it = mInventory.mLinks[n];
      CheckDeclared(mRegions, it.mFrom.Text(), Path("links", n, "from"));
      CheckDeclared(mRegions, it.mTo.Text(), Path("links", n, "to"));
      CheckDifferent(it.mFrom, it.mTo, Path("links", n, "to"));
      if (!it.mFrom.IsEmpty() && !it.mTo.IsEmpty()) {
        const auto [first, second] = std::minmax(it.mFrom, it.mTo);
        CheckUnique(
          pairs, first.Text() + " - " + second.Text(), Path("links", n, "to"));
      }
    }
  }

  void CheckPlaces()
  {
    std::unordered_map<std::string, const Place*> places;
    for (size_t n = 0; n < mInventory.mPlaces.size(); ++n) {
      const Place& it = mInventory.mPlaces[n];
      CheckUnique(mPlaces, it.mName.Text(), Path("places", n, "name"));
      CheckDeclared(mZones, it.mZone.Text(), Path("places", n, "zone"));
      places.emplace(it.mName.Text(), &it);
      if (it.mState == Lifecycle::Retired) {
        mRetiredPlaces.insert(it.mName.Text());
      }
    }
    for (size_t n = 0; n < mInventory.mPlaces.size(); ++n) {
      const Place& it = mInventory.mPlaces[n];
      const std::string path = Path("places", n, "successor");
      CheckDeclared(mPlaces, it.mSuccessor.Text(), path);
      if (IsOnSuccessorCycle(places, it)) {
        Fail(ResultCode::Conflict,
             path,
             "the chain of successors leads back to this place");
      }
    }
  }

  static bool IsOnSuccessorCycle(
    const std::unordered_map<std::string, const Place*>& aPlaces,
    const Place& aStart)
  {
    const Place* place = &aStart;
    for (size_t n = 0; n <= aPlaces.size(); ++n) {
      if (place->mSuccessor.IsEmpty()) {
        return false;
      }
      if (place->mSuccessor == aStart.mName) {
        return true;
      }
      const auto next = aPlaces.find(place->mSuccessor.Text());
      if (next == aPlaces.end()) {
        return false;
      }
      place = next->second;
    }
    return false;
  }

  void CheckServices()
  {
    for (size_t n = 0; n < mInventory.mServices.size(); ++n) {
      const Service& it = mInventory.mServices[n];
      CheckUnique(mServices, it.mName.Text(), Path("services", n, "name"));
      for (size_t route = 0; route < it.mRoutes.size(); ++route) {
        CheckRoute(it.mRoutes[route],
                   Path("services", n, "routes") + "/" + std::to_string(route));
      }
    }
  }

  void CheckRoute(const Route& aRoute, const std::string& aPath)
  {
    if (!aRoute.mPathPrefix.empty()) {
      auto& others = mRoutesByPrefix[aRoute.mPathPrefix];
      for (const Route* it : others) {
        if (MethodsOverlap(*it, aRoute)) {
          Fail(ResultCode::Duplicate,
               aPath + "/path_prefix",
               Quoted(aRoute.mPathPrefix) +
                 " is already declared for one of the methods");
          break;
        }
      }
      others.push_back(&aRoute);
    }
    // Idempotency records belong to a workspace. Without a workspace, callers
    // that happen to send the same idempotency key would get each other's
    // answers.
    if (aRoute.mAccess == RouteAccess::Open &&
        aRoute.mExecution == RouteExecution::AtMostOnce) {
      Fail(ResultCode::Conflict,
           aPath + "/execution",
           "an open route has no workspace to keep at-most-once records for; "
           "declare it idempotent or unprotected");
    }
  }

  static bool MethodsOverlap(const Route& aLeft, const Route& aRight)
  {
    return aLeft.mMethods.empty() || aRight.mMethods.empty() ||
           std::any_of(aLeft.mMethods.begin(),
                       aLeft.mMethods.end(),
                       [&](const std::string& aMethod) {
                         return std::find(aRight.mMethods.begin(),
                                          aRight.mMethods.end(),
                                          aMethod) != aRight.mMethods.end();
                       });
  }

  void CheckTargets()
  {
    Names names;
    std::map<std::pair<NetworkPrefix, uint16_t>, size_t> endpoints;
    for (size_t n = 0; n < mInventory.mTargets.size(); ++n) {
      const Target& it = mInventory.mTargets[n];
      CheckUnique(names, it.mName.Text(), Path("targets", n, "name"));
      CheckDeclared(
        mServices, it.mService.Text(), Path("targets", n, "service"));
      CheckDeclared(mPlaces, it.mPlace.Text(), Path("targets", n, "place"));
      const auto address = NetworkPrefix::ParseAddress(it.mAddress);
      if (address && it.mPort != 0 &&
          !endpoints.try_emplace({ *address, it.mPort }, n).second) {
        Fail(ResultCode::Duplicate,
             Path("targets", n, "port"),
             "another target has this address and port, so their slots would "
             "be counted separately");
      }
      if (it.mState == Lifecycle::Live &&
          mRetiredPlaces.contains(it.mPlace.Text())) {
        Fail(ResultCode::Conflict,
             Path("targets", n, "state"),
             "a live target is at a retired place");
      }
    }
  }

  void CheckWorkspaces()
  {
    for (size_t n = 0; n < mInventory.mWorkspaces.size(); ++n) {
      const Workspace& it = mInventory.mWorkspaces[n];
      CheckUnique(mWorkspaces, it.mName.Text(), Path("workspaces", n, "name"));
      if (it.mRate > 0 && it.mBurst < 1) {
        Fail(ResultCode::Conflict,
             Path("workspaces", n, "burst"),
             "a burst below 1 admits no requests");
      }
    }
  }

  void CheckKeys()
  {
    Names ids;
    Names digests;
    for (size_t n = 0; n < mInventory.mKeys.size(); ++n) {
      const TenantKey& it = mInventory.mKeys[n];
      CheckUnique(ids, it.mId.Text(), Path("keys", n, "id"));
      CheckDeclared(
        mWorkspaces, it.mWorkspace.Text(), Path("keys", n, "workspace"));
      if (!it.mDigest.empty() && !digests.insert(it.mDigest).second) {
        Fail(ResultCode::Duplicate,
             Path("keys", n, "digest"),
             "another key has the same digest");
      }
    }
  }

  void CheckClientBlocks()
  {
    std::vector<std::pair<NetworkPrefix, size_t>> prefixes;
    for (size_t n = 0; n < mInventory.mClientBlocks.size(); ++n) {
      const ClientBlock& it = mInventory.mClientBlocks[n];
      CheckDeclared(
        mRegions, it.mRegion.Text(), Path("client_blocks", n, "region"));
      if (const auto prefix = NetworkPrefix::Parse(it.mPrefix)) {
        prefixes.emplace_back(*prefix, n);
      }
    }
    std::sort(prefixes.begin(), prefixes.end());
    for (size_t n = 1; n < prefixes.size(); ++n) {
      if (prefixes[n].first == prefixes[n - 1].first) {
        Fail(ResultCode::Duplicate,
             Path("client_blocks", prefixes[n].second, "prefix"),
             "the prefix is already declared");
      }
    }
  }

  void CheckShifts()
  {
    Names names;
    Names running;
    for (size_t n = 0; n < mInventory.mShifts.size(); ++n) {
      const ShiftDeclaration& it = mInventory.mShifts[n];
      CheckUnique(names, it.mName.Text(), Path("shifts", n, "name"));
      CheckDeclared(
        mServices, it.mService.Text(), Path("shifts", n, "service"));
      CheckDeclared(mRegions, it.mFrom.Text(), Path("shifts", n, "from"));
      CheckDeclared(mRegions, it.mTo.Text(), Path("shifts", n, "to"));
      CheckDifferent(it.mFrom, it.mTo, Path("shifts", n, "to"));
      if (it.mShare > it.mFinalShare) {
        Fail(ResultCode::OutOfRange,
             Path("shifts", n, "share"),
             "must not exceed \"final_share\"");
      }
      if (it.mState == ShiftState::Running && !it.mService.IsEmpty() &&
          !running.insert(it.mService.Text()).second) {
        Fail(ResultCode::Conflict,
             Path("shifts", n, "state"),
             "another shift of the service is running");
      }
    }
  }

  const Inventory& mInventory;
  std::vector<Error> mErrors;
  Names mRegions;
  Names mZones;
  Names mPlaces;
  Names mRetiredPlaces;
  Names mServices;
  Names mWorkspaces;
  std::unordered_map<std::string, std::vector<const Route*>> mRoutesByPrefix;
};

} // namespace

std::vector<Error> CheckInventoryRules(const Inventory& aInventory)
{
  return RuleCheck(aInventory).Run();
}

} // namespace pollenway
