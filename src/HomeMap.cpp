#include "HomeMap.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

using nlohmann::json;

void SortByName(std::vector<HomeZone>& aZones)
{
  std::sort(aZones.begin(),
            aZones.end(),
            [](const HomeZone& aLeft, const HomeZone& aRight) {
              return aLeft.mZone < aRight.mZone;
            });
}

Error Failure(ResultCode aCode, const char* aDetail, std::string aPath)
{
  return { .mCode = aCode, .mDetail = aDetail, .mPath = std::move(aPath) };
}

Result<uint64_t> NumberAt(const json& aObject,
                          const char* aField,
                          const std::string& aPath)
{
  auto it = aObject.find(aField);
  if (it == aObject.end()) {
    return Failure(
      ResultCode::MissingField, "field is missing", aPath + "/" + aField);
  }
  if (!it->is_number_unsigned()) {
    return Failure(ResultCode::WrongType,
                   "expected a non-negative integer",
                   aPath + "/" + aField);
  }
  return it->get<uint64_t>();
}

} // namespace

HomeMap CreateHomeMap(std::vector<HomeZone> aZones)
{
  SortByName(aZones);
  HomeMap out{ .mVersion = 1, .mPartitions = {} };
  if (aZones.empty()) {
    return out;
  }
  for (unsigned i = 0; i < kHomePartitions; ++i) {
    const auto& zone = aZones[i % aZones.size()];
    out.mPartitions.push_back(
      { .mZone = zone.mZone, .mRecordsSince = zone.mViewNumber });
  }
  return out;
}

HomeMap MoveHomes(const HomeMap& aMap,
                  const ZoneName& aFrom,
                  std::vector<HomeZone> aTo)
{
  SortByName(aTo);
  HomeMap out = aMap;
  if (aTo.empty()) {
    return out;
  }
  ++out.mVersion;
  size_t next = 0;
  for (auto& it : out.mPartitions) {
    if (it.mZone == aFrom) {
      const auto& to = aTo[next++ % aTo.size()];
      it = { .mZone = to.mZone,
             .mRecordsSince = to.mViewNumber,
             .mMoves = it.mMoves + 1 };
    }
  }
  return out;
}

std::string HomeMapToJson(const HomeMap& aMap)
{
  json partitions = json::array();
  for (const auto& it : aMap.mPartitions) {
    partitions.push_back({ { "zone", it.mZone.Text() },
                           { "recordsSince", it.mRecordsSince },
                           { "moves", it.mMoves } });
  }
  return json{
    { "version", aMap.mVersion }, { "partitions", partitions }
  }.dump();
}

Result<HomeMap> HomeMapFromJson(std::string_view aText)
{
  const auto root = json::parse(aText, nullptr, false);
  if (root.is_discarded()) {
    return Failure(ResultCode::SyntaxError, "home map is not valid JSON", "");
  }
  if (!root.is_object()) {
    return Failure(ResultCode::WrongType, "expected an object", "");
  }
  HomeMap out;
  BOOST_OUTCOME_TRY(version, NumberAt(root, "version", ""));
  out.mVersion = version;
  auto list = root.find("partitions");
  if (list == root.end()) {
    return Failure(ResultCode::MissingField, "field is missing", "/partitions");
  }
  if (!list->is_array()) {
    return Failure(ResultCode::WrongType, "expected an array", "/partitions");
  }
  if (list->size() != kHomePartitions) {
    return Failure(
      ResultCode::OutOfRange, "expected 256 partitions", "/partitions");
  }
  for (size_t i = 0; i < list->size(); ++i) {
    const auto& it = (*list)[i];
    const std::string path = "/partitions/" + std::to_string(i);
    if (!it.is_object()) {
      return Failure(ResultCode::WrongType, "expected an object", path);
    }
    auto zone = it.find("zone");
    if (zone == it.end()) {
      return Failure(
        ResultCode::MissingField, "field is missing", path + "/zone");
    }
    if (!zone->is_string()) {
      return Failure(
        ResultCode::WrongType, "expected a string", path + "/zone");
    }
    PartitionHome home{ .mZone = ZoneName(zone->get<std::string>()) };
    BOOST_OUTCOME_TRY(since, NumberAt(it, "recordsSince", path));
    BOOST_OUTCOME_TRY(moves, NumberAt(it, "moves", path));
    home.mRecordsSince = since;
    home.mMoves = moves;
    out.mPartitions.push_back(std::move(home));
  }
  return out;
}

} // namespace pollenway
