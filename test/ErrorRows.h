#pragma once

#include "Validated.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// A change to a valid document and the error that the reader must report.
struct ErrorRow
{
  /// JSON pointer of the value to set; its parent must exist.
  const char* mPointer;
  /// JSON text of the new value, or null to remove the member.
  const char* mValue;
  pollenway::ResultCode mCode;
  /// Path of the reported error if it differs from `mPointer`.
  const char* mPath = nullptr;
};

/// Returns true if one of the errors has this code and path.
inline bool HasError(const std::vector<pollenway::Error>& aErrors,
                     pollenway::ResultCode aCode,
                     std::string_view aPath)
{
  for (const auto& it : aErrors) {
    if (it.mCode == aCode && it.mPath == aPath) {
      return true;
    }
  }
  return false;
}

/// Checks that each row's change causes exactly the row's error.
template<typename Reader, size_t N>
void CheckErrorRows(const nlohmann::json& aValid, const ErrorRow (&aRows)[N])
{
  REQUIRE(Reader::Read(aValid.dump()));
  for (const auto& it : aRows) {
    const std::string pointerText = it.mPointer;
    const std::string value = it.mValue ? it.mValue : "(removed)";
    CAPTURE(pointerText);
    CAPTURE(value);
    nlohmann::json changed = aValid;
    const nlohmann::json::json_pointer pointer(it.mPointer);
    if (it.mValue) {
      changed[pointer] = nlohmann::json::parse(it.mValue);
    } else {
      changed[pointer.parent_pointer()].erase(pointer.back());
    }
    const auto result = Reader::Read(changed.dump());
    REQUIRE(!result);
    CHECK(result.error().size() == 1);
    CHECK(Name(result.error()[0].mCode) == Name(it.mCode));
    CHECK(result.error()[0].mPath == (it.mPath ? it.mPath : it.mPointer));
    CHECK(!result.error()[0].mDetail.empty());
  }
}
