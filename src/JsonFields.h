#pragma once

#include "Error.h"
#include "Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// A row of a table that maps the JSON texts of an enumeration to its values.
template<typename Enum>
struct EnumText
{
  std::string_view mText;
  Enum mValue;
};

/// Checked access to the members of a JSON object. Each failure is recorded as
/// an `Error` with the field's path, and reading continues with the default (or
/// an empty value), so that one pass finds all errors. Codes: `MissingField`,
/// `WrongType`, `OutOfRange` and, by `Finish`, `UnknownField`. Limits are
/// inclusive. The JSON value and the error list must outlive this object.
class JsonFields
{
public:
  /// Records `WrongType` if `aValue` is not an object; all members then count
  /// as absent, without further errors.
  JsonFields(const nlohmann::json& aValue,
             std::string aPath,
             std::vector<Error>& aErrors);

  /// Returns a required string, or nothing if an error was recorded.
  std::optional<std::string> TryString(std::string_view aName);
  std::string RequiredString(std::string_view aName);
  std::string OptionalString(std::string_view aName,
                             std::string_view aDefault = {});
  bool OptionalBool(std::string_view aName, bool aDefault);

  uint64_t RequiredInteger(std::string_view aName,
                           uint64_t aMin,
                           uint64_t aMax);
  uint64_t OptionalInteger(std::string_view aName,
                           uint64_t aDefault,
                           uint64_t aMin,
                           uint64_t aMax);
  double RequiredNumber(std::string_view aName, double aMin, double aMax);
  double OptionalNumber(std::string_view aName,
                        double aDefault,
                        double aMin,
                        double aMax);

  /// Reads an integer number of milliseconds.
  Duration OptionalMilliseconds(std::string_view aName,
                                Duration aDefault,
                                Duration aMin,
                                Duration aMax);

  template<typename Enum, size_t N>
  Enum OptionalEnum(std::string_view aName,
                    Enum aDefault,
                    const EnumText<Enum> (&aTable)[N])
  {
    if (!Has(aName)) {
      return aDefault;
    }
    std::vector<std::string_view> texts;
    for (const auto& it : aTable) {
      texts.push_back(it.mText);
    }
    const size_t row = ReadEnumIndex(aName, texts);
    return row < N ? aTable[row].mValue : aDefault;
  }

  using StringReader =
    std::function<void(size_t aIndex, const std::string& aText)>;

  /// Calls `aRead` for each element of an array of strings. An element that is
  /// not a string is recorded as an error and skipped; `aIndex` still counts
  /// it.
  void RequiredStrings(std::string_view aName, const StringReader& aRead);
  void OptionalStrings(std::string_view aName, const StringReader& aRead);

  using ObjectReader = std::function<void(JsonFields&)>;

  /// Calls `aRead` with the object, then `Finish`.
  void RequiredObject(std::string_view aName, const ObjectReader& aRead);

  /// Calls `aRead`, then `Finish`, for each element of an array of objects.
  /// Also calls it for elements of a wrong type, so that positions are
  /// preserved.
  void RequiredObjects(std::string_view aName, const ObjectReader& aRead);
  void OptionalObjects(std::string_view aName, const ObjectReader& aRead);

  /// Returns true if the member is present.
  bool Has(std::string_view aName) const;

  /// Returns the path of a member, for instance "/targets/3/slots".
  std::string PathOf(std::string_view aName) const;

  /// Records an error that the caller found in a member.
  void Fail(ResultCode aCode, std::string_view aName, std::string aDetail);

  /// Records an error that the caller found in an element of an array member.
  void FailElement(ResultCode aCode,
                   std::string_view aName,
                   size_t aIndex,
                   std::string aDetail);

  /// Records `UnknownField` for each member that no call has read.
  void Finish();

private:
  const nlohmann::json* Find(std::string_view aName);
  const nlohmann::json* FindRequired(std::string_view aName);
  bool ReadString(const nlohmann::json& aValue,
                  std::string_view aName,
                  std::string& aResult);
  void ReadInteger(const nlohmann::json& aValue,
                   std::string_view aName,
                   uint64_t aMin,
                   uint64_t aMax,
                   uint64_t& aResult);
  void ReadNumber(const nlohmann::json& aValue,
                  std::string_view aName,
                  double aMin,
                  double aMax,
                  double& aResult);
  void ReadStrings(const nlohmann::json& aValue,
                   std::string_view aName,
                   const StringReader& aRead);
  void ReadObjects(const nlohmann::json& aValue,
                   std::string_view aName,
                   const ObjectReader& aRead);
  size_t ReadEnumIndex(std::string_view aName,
                       std::span<const std::string_view> aTexts);

  const nlohmann::json* mObject = nullptr;
  std::string mPath;
  std::vector<Error>& mErrors;
  std::set<std::string, std::less<>> mRequestedNames;
};

} // namespace pollenway
