#include "JsonFields.h"

#include "JsonParse.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace pollenway {

namespace {

using nlohmann::json;

// Integers that do not fit in 64 bits are parsed as doubles. From this
// magnitude on, every double is a whole number.
constexpr double kFirstDoubleWithoutFraction = 9007199254740992.0;

std::string Range(const json& aMin, const json& aMax)
{
  return "must be from " + aMin.dump() + " to " + aMax.dump();
}

int64_t Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

JsonFields::JsonFields(const nlohmann::json& aValue,
                       std::string aPath,
                       std::vector<Error>& aErrors)
  : mPath(std::move(aPath))
  , mErrors(aErrors)
{
  if (aValue.is_object()) {
    mObject = &aValue;
  } else {
    mErrors.push_back(
      { ResultCode::WrongType,
        std::string("must be an object, not ") + aValue.type_name(),
        mPath });
  }
}

bool JsonFields::Has(std::string_view aName) const
{
  return mObject && mObject->contains(aName);
}

std::string JsonFields::PathOf(std::string_view aName) const
{
  return ChildPath(mPath, aName);
}

void JsonFields::Fail(ResultCode aCode,
                      std::string_view aName,
                      std::string aDetail)
{
  mErrors.push_back({ aCode, std::move(aDetail), PathOf(aName) });
}

void JsonFields::FailElement(ResultCode aCode,
                             std::string_view aName,
                             size_t aIndex,
                             std::string aDetail)
{
  mErrors.push_back({ aCode,
                      std::move(aDetail),
                      ChildPath(PathOf(aName), std::to_string(aIndex)) });
}

const json* JsonFields::Find(std::string_view aName)
{
  mRequestedNames.emplace(aName);
  if (!mObject) {
    return nullptr;
  }
  const auto it = mObject->find(aName);
  return it == mObject->end() ? nullptr : &*it;
}

const json* JsonFields::FindRequired(std::string_view aName)
{
  const json* value = Find(aName);
  if (!value && mObject) {
    Fail(ResultCode::MissingField, aName, "the field is required");
  }
  return value;
}

bool JsonFields::ReadString(const json& aValue,
                            std::string_view aName,
                            std::string& aResult)
{
  if (!aValue.is_string()) {
    Fail(ResultCode::WrongType,
         aName,
         std::string("must be a string, not ") + aValue.type_name());
    return false;
  }
  aResult = aValue.get<std::string>();
  return true;
}

std::optional<std::string> JsonFields::TryString(std::string_view aName)
{
  std::string result;
  const json* value = FindRequired(aName);
  if (!value || !ReadString(*value, aName, result)) {
    return std::nullopt;
  }
  return result;
}

std::string JsonFields::RequiredString(std::string_view aName)
{
  return TryString(aName).value_or("");
}

std::string JsonFields::OptionalString(std::string_view aName,
                                       std::string_view aDefault)
{
  std::string result(aDefault);
  if (const json* value = Find(aName)) {
    ReadString(*value, aName, result);
  }
  return result;
}

bool JsonFields::OptionalBool(std::string_view aName, bool aDefault)
{
  const json* value = Find(aName);
  if (!value) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    Fail(ResultCode::WrongType,
         aName,
         std::string("must be true or false, not ") + value->type_name());
    return aDefault;
  }
  return value->get<bool>();
}

void JsonFields::ReadInteger(const json& aValue,
                             std::string_view aName,
                             uint64_t aMin,
                             uint64_t aMax,
                             uint64_t& aResult)
{
  const bool tooLarge =
    aValue.is_number_float() &&
    std::abs(aValue.get<double>()) >= kFirstDoubleWithoutFraction;
  if (!aValue.is_number_integer() && !tooLarge) {
    const char* kind =
      aValue.is_number_float() ? "a fraction" : aValue.type_name();
    Fail(ResultCode::WrongType,
         aName,
         std::string("must be an integer, not ") + kind);
    return;
  }
  // The library stores only negative integers as signed.
  const bool negative =
    !tooLarge && !aValue.is_number_unsigned() && aValue.get<int64_t>() < 0;
  if (tooLarge || negative || aValue.get<uint64_t>() < aMin ||
      aValue.get<uint64_t>() > aMax) {
    Fail(ResultCode::OutOfRange, aName, Range(aMin, aMax));
    return;
  }
  aResult = aValue.get<uint64_t>();
}

uint64_t JsonFields::RequiredInteger(std::string_view aName,
                                     uint64_t aMin,
                                     uint64_t aMax)
{
  uint64_t result = aMin;
  if (const json* value = FindRequired(aName)) {
    ReadInteger(*value, aName, aMin, aMax, result);
  }
  return result;
}

uint64_t JsonFields::OptionalInteger(std::string_view aName,
                                     uint64_t aDefault,
                                     uint64_t aMin,
                                     uint64_t aMax)
{
  uint64_t result = aDefault;
  if (const json* value = Find(aName)) {
    ReadInteger(*value, aName, aMin, aMax, result);
  }
  return result;
}

void JsonFields::ReadNumber(const json& aValue,
                            std::string_view aName,
                            double aMin,
                            double aMax,
                            double& aResult)
{
  if (!aValue.is_number()) {
    Fail(ResultCode::WrongType,
         aName,
         std::string("must be a number, not ") + aValue.type_name());
    return;
  }
  const double number = aValue.get<double>();
  if (number < aMin || number > aMax) {
    Fail(ResultCode::OutOfRange, aName, Range(aMin, aMax));
    return;
  }
  // Adding 0 converts -0 to 0; the two would be written as different texts.
  aResult = number + 0.0;
}

double JsonFields::RequiredNumber(std::string_view aName,
                                  double aMin,
                                  double aMax)
{
  double result = aMin;
  if (const json* value = FindRequired(aName)) {
    ReadNumber(*value, aName, aMin, aMax, result);
  }
  return result;
}

double JsonFields::OptionalNumber(std::string_view aName,
                                  double aDefault,
                                  double aMin,
                                  double aMax)
{
  double result = aDefault;
  if (const json* value = Find(aName)) {
    ReadNumber(*value, aName, aMin, aMax, result);
  }
  return result;
}

Duration JsonFields::OptionalMilliseconds(std::string_view aName,
                                          Duration aDefault,
                                          Duration aMin,
                                          Duration aMax)
{
  const auto ms = OptionalInteger(
    aName, Milliseconds(aDefault), Milliseconds(aMin), Milliseconds(aMax));
  return std::chrono::milliseconds(ms);
}

size_t JsonFields::ReadEnumIndex(std::string_view aName,
                                 std::span<const std::string_view> aTexts)
{
  const std::optional<std::string> text = TryString(aName);
  std::string allowed;
  for (size_t n = 0; n < aTexts.size(); ++n) {
    if (text && aTexts[n] == *text) {
      return n;
    }
    allowed += (n == 0 ? "" : ", ") + Quoted(aTexts[n]);
  }
  if (text) {
    Fail(ResultCode::OutOfRange,
         aName,
         Quoted(*text) + " is not one of " + allowed);
  }
  return aTexts.size();
}

void JsonFields::ReadStrings(const json& aValue,
                             std::string_view aName,
                             const StringReader& aRead)
{
  if (!aValue.is_array()) {
    Fail(ResultCode::WrongType,
         aName,
         std::string("must be an array of strings, not ") + aValue.type_name());
    return;
  }
  for (size_t n = 0; n < aValue.size(); ++n) {
    if (aValue[n].is_string()) {
      aRead(n, aValue[n].get_ref<const std::string&>());
    } else {
      FailElement(ResultCode::WrongType,
                  aName,
                  n,
                  std::string("must be a string, not ") +
                    aValue[n].type_name());
    }
  }
}

void JsonFields::RequiredStrings(std::string_view aName,
                                 const StringReader& aRead)
{
  if (const json* value = FindRequired(aName)) {
    ReadStrings(*value, aName, aRead);
  }
}

void JsonFields::OptionalStrings(std::string_view aName,
                                 const StringReader& aRead)
{
  if (const json* value = Find(aName)) {
    ReadStrings(*value, aName, aRead);
  }
}

void JsonFields::RequiredObject(std::string_view aName,
                                const ObjectReader& aRead)
{
  if (const json* value = FindRequired(aName)) {
    JsonFields fields(*value, PathOf(aName), mErrors);
    aRead(fields);
    fields.Finish();
  }
}

void JsonFields::ReadObjects(const json& aValue,
                             std::string_view aName,
                             const ObjectReader& aRead)
{
  const std::string path = PathOf(aName);
  if (!aValue.is_array()) {
    Fail(ResultCode::WrongType,
         aName,
         std::string("must be an array of objects, not ") + aValue.type_name());
    return;
  }
  size_t n = 0;
  for (const json& it : aValue) {
    JsonFields fields(it, ChildPath(path, std::to_string(n++)), mErrors);
    aRead(fields);
    fields.Finish();
  }
}

void JsonFields::RequiredObjects(std::string_view aName,
                                 const ObjectReader& aRead)
{
  if (const json* value = FindRequired(aName)) {
    ReadObjects(*value, aName, aRead);
  }
}

void JsonFields::OptionalObjects(std::string_view aName,
                                 const ObjectReader& aRead)
{
  if (const json* value = Find(aName)) {
    ReadObjects(*value, aName, aRead);
  }
}

void JsonFields::Finish()
{
  if (!mObject) {
    return;
  }
  for (const auto& it : mObject->items()) {
    if (!mRequestedNames.contains(it.key())) {
      Fail(ResultCode::UnknownField, it.key(), "the field is not known");
    }
  }
}

} // namespace pollenway
