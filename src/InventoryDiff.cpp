#include "InventoryDiff.h"

#include "InventoryTexts.h"
#include "JsonParse.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace pollenway {

namespace {

// Long enough to distinguish an operator's keys, too short to look up a key by
// its digest.
constexpr size_t kShownDigestLength = 8;

struct FieldText
{
  const char* mField;
  std::string mText;
};

using Fields = std::vector<FieldText>;

template<typename Number>
std::string Text(Number aNumber)
{
  char buf[32];
  const auto result = std::to_chars(std::begin(buf), std::end(buf), aNumber);
  return { buf, result.ptr };
}

std::string Text(Duration aDuration)
{
  return Text(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

template<typename Tag>
std::string Text(const StrongId<Tag>& aId)
{
  return aId.Text();
}

std::string Join(std::vector<std::string> aTexts)
{
  std::sort(aTexts.begin(), aTexts.end());
  std::string result;
  for (const auto& it : aTexts) {
    result += (result.empty() ? "" : ",") + it;
  }
  return result;
}

std::string NameOf(const RegionLink& aLink)
{
  const auto [first, second] = std::minmax(aLink.mFrom, aLink.mTo);
  return first.Text() + " - " + second.Text();
}

std::string NameOf(const ClientBlock& aBlock)
{
  return aBlock.mPrefix;
}

std::string NameOf(const TenantKey& aKey)
{
  return aKey.mId.Text();
}

template<typename Element>
std::string NameOf(const Element& aElement)
{
  return aElement.mName.Text();
}

Fields FieldsOf(const Region& aRegion)
{
  std::vector<std::string> zones;
  for (const auto& it : aRegion.mZones) {
    zones.push_back(it.Text());
  }
  return { { "zones", Join(zones) },
           { "capacity_rps", Text(aRegion.mCapacity) } };
}

Fields FieldsOf(const RegionLink& aLink)
{
  return { { "bits_per_second", Text(aLink.mBitsPerSecond) },
           { "latency_ms", Text(aLink.mLatencyMs) } };
}

Fields FieldsOf(const Place& aPlace)
{
  return { { "zone", Text(aPlace.mZone) },
           { "state", std::string(Name(aPlace.mState)) },
           { "successor", Text(aPlace.mSuccessor) } };
}

Fields FieldsOf(const Service& aService)
{
  return { { "timeout_ms", Text(aService.mTimeout) },
           { "lookup_ttl_ms", Text(aService.mLookupTtl) },
           { "idle_timeout_ms", Text(aService.mIdleTimeout) },
           { "queue_limit", Text(aService.mQueueLimit) } };
}

Fields FieldsOf(const Route& aRoute)
{
  return { { "access", std::string(TextOf(kRouteAccessTexts, aRoute.mAccess)) },
           { "execution",
             std::string(TextOf(kRouteExecutionTexts, aRoute.mExecution)) } };
}

Fields FieldsOf(const Target& aTarget)
{
  return { { "service", Text(aTarget.mService) },
           { "place", Text(aTarget.mPlace) },
           { "address", aTarget.mAddress },
           { "port", Text(aTarget.mPort) },
           { "slots", Text(aTarget.mSlots) },
           { "connections", Text(aTarget.mConnections) },
           { "state", std::string(Name(aTarget.mState)) } };
}

Fields FieldsOf(const Workspace& aWorkspace)
{
  return { { "rate", Text(aWorkspace.mRate) },
           { "burst", Text(aWorkspace.mBurst) },
           { "weight", Text(aWorkspace.mWeight) } };
}

Fields FieldsOf(const TenantKey& aKey)
{
  return { { "workspace", Text(aKey.mWorkspace) },
           { "digest", aKey.mDigest },
           { "withdrawn", aKey.mWithdrawn ? "true" : "false" } };
}

Fields FieldsOf(const ClientBlock& aBlock)
{
  return { { "region", Text(aBlock.mRegion) } };
}

Fields FieldsOf(const ShiftDeclaration& aShift)
{
  return { { "service", Text(aShift.mService) },
           { "from", Text(aShift.mFrom) },
           { "to", Text(aShift.mTo) },
           { "share", Text(aShift.mShare) },
           { "step_cap", Text(aShift.mStepCap) },
           { "rate_cap", Text(aShift.mRateCap) },
           { "final_share", Text(aShift.mFinalShare) },
           { "pace_ms", Text(aShift.mPace) },
           { "max_error_share", Text(aShift.mMaxErrorShare) },
           { "min_headroom", Text(aShift.mMinHeadroom) },
           { "state", std::string(TextOf(kShiftStateTexts, aShift.mState)) },
           { "reason", aShift.mReason.empty() ? "" : Quoted(aShift.mReason) } };
}

std::string DisplayedValue(const FieldText& aField)
{
  if (std::string_view(aField.mField) == "digest") {
    return aField.mText.substr(0, kShownDigestLength) + "...";
  }
  return aField.mText;
}

class Comparison
{
public:
  template<typename Element>
  using ByName = std::map<std::string, const Element*>;

  template<typename Element>
  void Compare(ElementKind aKind,
               const std::vector<Element>& aOld,
               const std::vector<Element>& aNew)
  {
    Compare(aKind, Index(aOld), Index(aNew));
  }

  template<typename Element>
  void Compare(ElementKind aKind,
               const ByName<Element>& aOld,
               const ByName<Element>& aNew)
  {
    auto before = aOld.begin();
    auto after = aNew.begin();
    while (before != aOld.end() || after != aNew.end()) {
      if (after == aNew.end() ||
          (before != aOld.end() && before->first < after->first)) {
        RecordRemoved(aKind, before->first, FieldsOf(*before->second));
        ++before;
      } else if (before == aOld.end() || after->first < before->first) {
        RecordAdded(aKind, after->first, FieldsOf(*after->second));
        ++after;
      } else {
        if (!(*before->second == *after->second)) {
          RecordChanged(aKind,
                        before->first,
                        FieldsOf(*before->second),
                        FieldsOf(*after->second));
        }
        ++before;
        ++after;
      }
    }
  }

  std::vector<InventoryChange> TakeChanges() { return std::move(mChanges); }

private:
  template<typename Element>
  static ByName<Element> Index(const std::vector<Element>& aElements)
  {
    ByName<Element> result;
    for (const auto& it : aElements) {
      result.emplace(NameOf(it), &it);
    }
    return result;
  }

  void RecordAdded(ElementKind aKind, std::string aName, const Fields& aFields)
  {
    InventoryChange change{ aKind, std::move(aName), ChangeKind::Added, {} };
    for (const auto& it : aFields) {
      change.mFields.push_back({ it.mField, "", DisplayedValue(it) });
    }
    mChanges.push_back(std::move(change));
  }

  void RecordRemoved(ElementKind aKind,
                     std::string aName,
                     const Fields& aFields)
  {
    InventoryChange change{ aKind, std::move(aName), ChangeKind::Removed, {} };
    for (const auto& it : aFields) {
      change.mFields.push_back({ it.mField, DisplayedValue(it), "" });
    }
    mChanges.push_back(std::move(change));
  }

  void RecordChanged(ElementKind aKind,
                     std::string aName,
                     const Fields& aOld,
                     const Fields& aNew)
  {
    InventoryChange change{ aKind, std::move(aName), ChangeKind::Changed, {} };
    for (size_t n = 0; n < aOld.size(); ++n) {
      if (aOld[n].mText != aNew[n].mText) {
        change.mFields.push_back(
          { aOld[n].mField, DisplayedValue(aOld[n]), DisplayedValue(aNew[n]) });
      }
    }
    // Elements that differ only in the order of a list have no changed field.
    if (!change.mFields.empty()) {
      mChanges.push_back(std::move(change));
    }
  }

  std::vector<InventoryChange> mChanges;
};

std::map<std::string, const Route*> IndexRoutes(
  const std::vector<Service>& aServices)
{
  std::map<std::string, const Route*> result;
  for (const auto& service : aServices) {
    for (const auto& it : service.mRoutes) {
      const std::string methods =
        it.mMethods.empty() ? "" : Join(it.mMethods) + " ";
      result.emplace(service.mName.Text() + " " + methods + it.mPathPrefix,
                     &it);
    }
  }
  return result;
}

std::string ValueOr(const std::string& aText, const char* aIfEmpty)
{
  return aText.empty() ? aIfEmpty : aText;
}

} // namespace

std::vector<InventoryChange> InventoryDiff::Compare(const Inventory& aOld,
                                                    const Inventory& aNew)
{
  Comparison result;
  result.Compare(ElementKind::Region, aOld.mRegions, aNew.mRegions);
  result.Compare(ElementKind::Link, aOld.mLinks, aNew.mLinks);
  result.Compare(ElementKind::Place, aOld.mPlaces, aNew.mPlaces);
  result.Compare(ElementKind::Service, aOld.mServices, aNew.mServices);
  result.Compare(ElementKind::Route,
                 IndexRoutes(aOld.mServices),
                 IndexRoutes(aNew.mServices));
  result.Compare(ElementKind::Target, aOld.mTargets, aNew.mTargets);
  result.Compare(ElementKind::Workspace, aOld.mWorkspaces, aNew.mWorkspaces);
  result.Compare(ElementKind::Key, aOld.mKeys, aNew.mKeys);
  result.Compare(
    ElementKind::ClientBlock, aOld.mClientBlocks, aNew.mClientBlocks);
  result.Compare(ElementKind::Shift, aOld.mShifts, aNew.mShifts);
  return result.TakeChanges();
}

std::string InventoryDiff::Render(const std::vector<InventoryChange>& aChanges)
{
  std::string result;
  for (const auto& change : aChanges) {
    const char* mark = change.mKind == ChangeKind::Added     ? "+ "
                       : change.mKind == ChangeKind::Removed ? "- "
                                                             : "~ ";
    result += mark + std::string(Name(change.mElement)) + " " + change.mName;
    const char* separator = ": ";
    for (const auto& it : change.mFields) {
      result += separator + it.mField + " ";
      if (change.mKind == ChangeKind::Changed) {
        result += ValueOr(it.mOld, "none") + " -> " + ValueOr(it.mNew, "none");
      } else {
        result += ValueOr(it.mOld.empty() ? it.mNew : it.mOld, "none");
      }
      separator = ", ";
    }
    result += '\n';
  }
  return result;
}

} // namespace pollenway
