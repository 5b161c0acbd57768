#include "HomeMapEdit.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

using nlohmann::json;

bool IsNumber(const json& aObject, const char* aField)
{
  return aObject.contains(aField) && aObject[aField].is_number_unsigned();
}

bool IsPartition(const json& aValue)
{
  return aValue.is_object() && aValue.contains("zone") &&
         aValue["zone"].is_string() && IsNumber(aValue, "recordsSince") &&
         IsNumber(aValue, "moves");
}

Result<json> Parse(std::string_view aText)
{
  json map = json::parse(aText, nullptr, false);
  if (map.is_discarded()) {
    return Error{ ResultCode::SyntaxError, "the home map is not JSON", {} };
  }
  bool valid = map.is_object() && IsNumber(map, "version") &&
               map.contains("partitions") && map["partitions"].is_array();
  if (valid) {
    for (const auto& it : map["partitions"]) {
      valid = valid && IsPartition(it);
    }
  }
  if (!valid) {
    return Error{ ResultCode::WrongType,
                  "a field of the home map is missing or has a wrong type",
                  {} };
  }
  return map;
}

} // namespace

Result<HomeMapEdit> HomeMapEdit::Move(std::string_view aText,
                                      const ZoneName& aFrom,
                                      const ZoneName& aTo,
                                      uint64_t aToView)
{
  auto parsed = Parse(aText);
  if (!parsed) {
    return parsed.error();
  }
  json& map = parsed.value();
  HomeMapEdit edit;
  for (auto& it : map["partitions"]) {
    if (it["zone"] == aFrom.Text()) {
      it["zone"] = aTo.Text();
      it["recordsSince"] = aToView;
      it["moves"] = it["moves"].get<uint64_t>() + 1;
      ++edit.mMoved;
    }
  }
  if (edit.mMoved > 0) {
    map["version"] = map["version"].get<uint64_t>() + 1;
  }
  edit.mText = map.dump();
  return edit;
}

unsigned HomeMapEdit::Count(std::string_view aText, const ZoneName& aZone)
{
  auto parsed = Parse(aText);
  unsigned count = 0;
  if (parsed) {
    for (const auto& it : parsed.value()["partitions"]) {
      count += it["zone"] == aZone.Text();
    }
  }
  return count;
}

} // namespace pollenway
