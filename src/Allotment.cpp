#include "Allotment.h"

#include "Assert.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pollenway {

namespace {

using Json = nlohmann::json;

uint64_t SumOf(const std::map<ZoneName, uint32_t>& aFractions)
{
  uint64_t sum = 0;
  for (const auto& it : aFractions) {
    sum += it.second;
  }
  return sum;
}

Error ErrorAt(ResultCode aCode, std::string aPath, std::string aDetail)
{
  return { .mCode = aCode,
           .mDetail = std::move(aDetail),
           .mPath = std::move(aPath) };
}

} // namespace

Allotment Allotment::Equal(const std::vector<ZoneName>& aZones)
{
  Allotment out;
  out.mVersion = 1;
  for (const auto& it : aZones) {
    out.mFractions[it] = kWhole / uint32_t(aZones.size());
  }
  out.AssertSum();
  return out;
}

Allotment Allotment::Single(const ZoneName& aZone)
{
  return Equal({ aZone });
}

Result<Allotment> Allotment::Parse(std::string_view aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  if (json.is_discarded()) {
    return ErrorAt(ResultCode::SyntaxError, "", "not valid JSON");
  }
  if (!json.is_object()) {
    return ErrorAt(ResultCode::WrongType, "", "expected an object");
  }
  for (const auto& it : json.items()) {
    if (it.key() != "version" && it.key() != "fractions") {
      return ErrorAt(ResultCode::UnknownField, "/" + it.key(), "unknown field");
    }
  }
  if (!json.contains("version") || !json.contains("fractions")) {
    return ErrorAt(
      ResultCode::MissingField, "", "version and fractions are required");
  }
  if (!json["version"].is_number_unsigned()) {
    return ErrorAt(
      ResultCode::WrongType, "/version", "expected a non-negative integer");
  }
  if (!json["fractions"].is_object()) {
    return ErrorAt(ResultCode::WrongType, "/fractions", "expected an object");
  }
  Allotment out;
  out.mVersion = json["version"].get<uint64_t>();
  if (out.mVersion == 0) {
    return ErrorAt(ResultCode::OutOfRange, "/version", "must be at least 1");
  }
  for (const auto& it : json["fractions"].items()) {
    const std::string path = "/fractions/" + it.key();
    if (!it.value().is_number_unsigned()) {
      return ErrorAt(
        ResultCode::WrongType, path, "expected a non-negative integer");
    }
    const auto value = it.value().get<uint64_t>();
    if (value > kWhole) {
      return ErrorAt(ResultCode::OutOfRange, path, "must be at most 1000000");
    }
    out.mFractions[ZoneName(it.key())] = uint32_t(value);
  }
  if (SumOf(out.mFractions) > kWhole) {
    return ErrorAt(
      ResultCode::OutOfRange, "/fractions", "the sum exceeds 1000000");
  }
  return out;
}

std::string Allotment::ToJson() const
{
  Json fractions = Json::object();
  for (const auto& it : mFractions) {
    fractions[it.first.Text()] = it.second;
  }
  return Json{ { "version", mVersion }, { "fractions", fractions } }.dump();
}

uint32_t Allotment::Fraction(const ZoneName& aZone) const
{
  const auto it = mFractions.find(aZone);
  return it == mFractions.end() ? 0 : it->second;
}

Allotment Allotment::Moved(const ZoneName& aFrom,
                           const ZoneName& aTo,
                           uint32_t aAmount) const
{
  Allotment out = *this;
  ++out.mVersion;
  const uint32_t amount = std::min(aAmount, Fraction(aFrom));
  if (amount > 0) {
    out.mFractions[aFrom] -= amount;
    out.mFractions[aTo] += amount;
  }
  out.AssertSum();
  return out;
}

Allotment Allotment::Without(const ZoneName& aZone) const
{
  Allotment out = *this;
  ++out.mVersion;
  const uint32_t freed = Fraction(aZone);
  out.mFractions.erase(aZone);
  for (auto& it : out.mFractions) {
    it.second += freed / uint32_t(out.mFractions.size());
  }
  out.AssertSum();
  return out;
}

void Allotment::AssertSum() const
{
  POLLENWAY_ASSERT(SumOf(mFractions) <= kWhole,
                   "the sum of an allotment's fractions exceeds the whole");
}

} // namespace pollenway
