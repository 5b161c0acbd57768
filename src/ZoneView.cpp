#include "ZoneView.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenway {

using nlohmann::json;

namespace {

template<typename Number>
bool ReadNumber(const json& aObject, const char* aKey, Number& aOut)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end() || !it->is_number_unsigned() ||
      it->get<uint64_t>() > std::numeric_limits<Number>::max()) {
    return false;
  }
  aOut = it->get<Number>();
  return true;
}

bool ReadText(const json& aObject, const char* aKey, std::string& aOut)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end() || !it->is_string()) {
    return false;
  }
  aOut = it->get<std::string>();
  return true;
}

Error BadField(const char* aWhere)
{
  return { ResultCode::WrongType,
           "a field of the zone view is missing or has a wrong type",
           aWhere };
}

bool ReadEarlier(const json& aRoot,
                 std::map<uint64_t, std::vector<HomeMember>>& aOut)
{
  const auto earlier = aRoot.find("earlier");
  if (earlier == aRoot.end()) {
    return true;
  }
  if (!earlier->is_array()) {
    return false;
  }
  for (const auto& view : *earlier) {
    uint64_t number = 0;
    if (!view.is_object() || !ReadNumber(view, "number", number) ||
        !view.contains("members") || !view["members"].is_array()) {
      return false;
    }
    auto& members = aOut[number];
    for (const auto& it : view["members"]) {
      std::string name;
      HomeMember member;
      if (!it.is_object() || !ReadText(it, "instance", name) ||
          !ReadNumber(it, "incarnation", member.mIncarnation)) {
        return false;
      }
      member.mName = InstanceName(std::move(name));
      members.push_back(std::move(member));
    }
  }
  return true;
}

bool LessByName(const ZoneMember& aLeft, const ZoneMember& aRight)
{
  return aLeft.mName < aRight.mName;
}

} // namespace

const ZoneMember* ZoneView::Find(const InstanceName& aName) const
{
  for (const auto& it : mMembers) {
    if (it.mName == aName) {
      return &it;
    }
  }
  return nullptr;
}

bool ZoneView::Contains(const InstanceName& aName,
                        Incarnation aIncarnation) const
{
  const auto* member = Find(aName);
  return member && member->mIncarnation == aIncarnation;
}

HomeView ZoneView::Homes() const
{
  HomeView out;
  out.mNumber = mNumber;
  for (const auto& it : mMembers) {
    out.mMembers.push_back({ it.mName, it.mIncarnation });
  }
  out.mEarlier = mEarlier;
  return out;
}

std::vector<InstanceName> ZoneView::Names() const
{
  std::vector<InstanceName> out;
  out.reserve(mMembers.size());
  for (const auto& it : mMembers) {
    out.push_back(it.mName);
  }
  return out;
}

ZoneView WithMember(const ZoneView& aView, const ZoneMember& aMember)
{
  ZoneView out = aView;
  ++out.mNumber;
  std::erase_if(out.mMembers, [&](const auto& aEntry) {
    return aEntry.mName == aMember.mName;
  });
  out.mMembers.insert(
    std::upper_bound(
      out.mMembers.begin(), out.mMembers.end(), aMember, LessByName),
    aMember);
  return out;
}

ZoneView WithoutMember(const ZoneView& aView,
                       const InstanceName& aName,
                       Incarnation aIncarnation)
{
  ZoneView out = aView;
  const auto removed = std::erase_if(out.mMembers, [&](const auto& aEntry) {
    return aEntry.mName == aName && aEntry.mIncarnation == aIncarnation;
  });
  out.mNumber += removed;
  return out;
}

ZoneView WithCompletedView(const ZoneView& aView,
                           const InstanceName& aName,
                           uint64_t aCompleted)
{
  ZoneView out = aView;
  for (auto& it : out.mMembers) {
    if (it.mName == aName) {
      it.mCompletedView = std::max(it.mCompletedView, aCompleted);
    }
  }
  return out;
}

std::string ZoneViewToJson(const ZoneView& aView)
{
  json members = json::array();
  for (const auto& it : aView.mMembers) {
    members.push_back({ { "instance", it.mName.Text() },
                        { "incarnation", it.mIncarnation },
                        { "address", it.mAddress },
                        { "entryPort", it.mEntryPort },
                        { "peerPort", it.mPeerPort },
                        { "relayPort", it.mRelayPort },
                        { "completedView", it.mCompletedView } });
  }
  json earlier = json::array();
  for (const auto& [number, view] : aView.mEarlier) {
    json names = json::array();
    for (const auto& it : view) {
      names.push_back({ { "instance", it.mName.Text() },
                        { "incarnation", it.mIncarnation } });
    }
    earlier.push_back(
      { { "number", number }, { "members", std::move(names) } });
  }
  return json{
    { "zone", aView.mZone.Text() },
    { "number", aView.mNumber },
    { "members", std::move(members) },
    { "earlier", std::move(earlier) }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ZoneView> ZoneViewFromJson(std::string_view aText)
{
  const auto root = json::parse(aText, nullptr, false);
  if (root.is_discarded()) {
    return Error{ ResultCode::SyntaxError,
                  "the zone view is not valid JSON",
                  {} };
  }
  ZoneView out;
  std::string zone;
  if (!root.is_object() || !ReadText(root, "zone", zone) ||
      !ReadNumber(root, "number", out.mNumber)) {
    return BadField("/");
  }
  out.mZone = ZoneName(zone);
  const auto members = root.find("members");
  if (members == root.end() || !members->is_array()) {
    return BadField("/members");
  }
  for (const auto& it : *members) {
    ZoneMember member;
    std::string name;
    if (!it.is_object() || !ReadText(it, "instance", name) || name.empty() ||
        !ReadNumber(it, "incarnation", member.mIncarnation) ||
        !ReadText(it, "address", member.mAddress) ||
        !ReadNumber(it, "entryPort", member.mEntryPort) ||
        !ReadNumber(it, "peerPort", member.mPeerPort) ||
        !ReadNumber(it, "relayPort", member.mRelayPort) ||
        !ReadNumber(it, "completedView", member.mCompletedView)) {
      return BadField("/members");
    }
    member.mName = InstanceName(name);
    if (out.Find(member.mName)) {
      return Error{ ResultCode::Duplicate,
                    "instance " + name + " is listed twice",
                    "/members" };
    }
    out.mMembers.push_back(std::move(member));
  }
  std::sort(out.mMembers.begin(), out.mMembers.end(), LessByName);
  if (!ReadEarlier(root, out.mEarlier)) {
    return BadField("/earlier");
  }
  return out;
}

} // namespace pollenway
