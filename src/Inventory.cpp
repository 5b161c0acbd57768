#include "Inventory.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr double kUnlinkedLatencyMs = 1e6;

template<typename Element, typename Name>
const Element* FindByName(const std::vector<Element>& aElements,
                          const Name& aName)
{
  for (const auto& it : aElements) {
    if (it.mName == aName) {
      return &it;
    }
  }
  return nullptr;
}

bool HasMethod(const Route& aRoute, std::string_view aMethod)
{
  return aRoute.mMethods.empty() ||
         std::find(aRoute.mMethods.begin(), aRoute.mMethods.end(), aMethod) !=
           aRoute.mMethods.end();
}

bool HasPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (aPrefix.empty() || aPath.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.back() == '/' ||
         aPath[aPrefix.size()] == '/' || aPath[aPrefix.size()] == '?';
}

// Removes the first character from `aText` and returns it. Percent-encoded "."
// and "/" are decoded.
char ConsumeDecodedChar(std::string_view& aText)
{
  const auto encodes = [&](char aUpper, char aLower) {
    return aText.size() >= 3 && aText[0] == '%' && aText[1] == '2' &&
           (aText[2] == aUpper || aText[2] == aLower);
  };
  char result = aText[0];
  size_t length = 1;
  if (encodes('E', 'e')) {
    result = '.';
    length = 3;
  } else if (encodes('F', 'f')) {
    result = '/';
    length = 3;
  }
  aText.remove_prefix(length);
  return result;
}

bool HasDotSegment(std::string_view aPath)
{
  std::string_view rest = aPath.substr(0, aPath.find('?'));
  size_t dots = 0;
  bool onlyDots = true;
  while (!rest.empty()) {
    const char it = ConsumeDecodedChar(rest);
    if (it == '/' || it == '\\') {
      if (onlyDots && (dots == 1 || dots == 2)) {
        return true;
      }
      dots = 0;
      onlyDots = true;
    } else if (it == '.') {
      ++dots;
    } else {
      onlyDots = false;
    }
  }
  return onlyDots && (dots == 1 || dots == 2);
}

} // namespace

const Region* Inventory::FindRegion(const RegionName& aName) const
{
  return FindByName(mRegions, aName);
}

const Place* Inventory::FindPlace(const PlaceName& aName) const
{
  return FindByName(mPlaces, aName);
}

const Service* Inventory::FindService(const ServiceName& aName) const
{
  return FindByName(mServices, aName);
}

const Target* Inventory::FindTarget(const TargetName& aName) const
{
  return FindByName(mTargets, aName);
}

const Workspace* Inventory::FindWorkspace(const WorkspaceName& aName) const
{
  return FindByName(mWorkspaces, aName);
}

const Region* Inventory::RegionOfZone(const ZoneName& aZone) const
{
  for (const auto& it : mRegions) {
    if (std::find(it.mZones.begin(), it.mZones.end(), aZone) !=
        it.mZones.end()) {
      return &it;
    }
  }
  return nullptr;
}

const Place* Inventory::ResolvePlace(const PlaceName& aName) const
{
  const Place* place = FindPlace(aName);
  for (size_t n = 0; place && n <= mPlaces.size(); ++n) {
    if (place->mState != Lifecycle::Retired) {
      return place;
    }
    place = FindPlace(place->mSuccessor);
  }
  return nullptr;
}

Inventory::RouteMatch Inventory::MatchRoute(std::string_view aMethod,
                                            std::string_view aPath) const
{
  RouteMatch best;
  if (HasDotSegment(aPath)) {
    return best;
  }
  for (const auto& service : mServices) {
    for (const auto& route : service.mRoutes) {
      const bool longer = !best.mRoute || route.mPathPrefix.size() >
                                            best.mRoute->mPathPrefix.size();
      if (longer && HasPrefix(aPath, route.mPathPrefix) &&
          HasMethod(route, aMethod)) {
        best = { &service, &route };
      }
    }
  }
  return best;
}

double Inventory::LatencyMs(const RegionName& aFrom,
                            const RegionName& aTo) const
{
  if (aFrom == aTo) {
    return 0;
  }
  for (const auto& it : mLinks) {
    if ((it.mFrom == aFrom && it.mTo == aTo) ||
        (it.mFrom == aTo && it.mTo == aFrom)) {
      return it.mLatencyMs;
    }
  }
  return kUnlinkedLatencyMs;
}

} // namespace pollenway
