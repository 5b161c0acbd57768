#include "ShiftStepRecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pollenway {

std::string ShiftStepRecord::ToJson() const
{
  return nlohmann::json{ { "share", mShare }, { "at_ms", mUnixMs } }.dump();
}

Result<ShiftStepRecord> ShiftStepRecord::Parse(std::string_view aText)
{
  const auto root = nlohmann::json::parse(aText, nullptr, false);
  if (root.is_discarded()) {
    return Error{ ResultCode::SyntaxError, "the record is not JSON", {} };
  }
  if (!root.is_object() || !root.contains("share") ||
      !root["share"].is_number() || !root.contains("at_ms") ||
      !root["at_ms"].is_number_integer()) {
    return Error{ ResultCode::WrongType,
                  "a field of the record is missing or has a wrong type",
                  {} };
  }
  ShiftStepRecord record;
  record.mShare = root["share"];
  record.mUnixMs = root["at_ms"];
  return record;
}

PaceCheck CheckPace(const ShiftDeclaration& aShift,
                    const std::optional<ShiftStepRecord>& aRecord,
                    int64_t aNowUnixMs)
{
  PaceCheck check;
  if (!aRecord && aShift.mShare == 0) {
    return check;
  }
  const int64_t pace =
    std::chrono::duration_cast<std::chrono::milliseconds>(aShift.mPace).count();
  check.mIsLastStepUnknown = !aRecord || aRecord->mShare != aShift.mShare;
  const int64_t passed =
    check.mIsLastStepUnknown
      ? 0
      : std::max<int64_t>(0, aNowUnixMs - aRecord->mUnixMs);
  check.mWaitMs = std::max<int64_t>(0, pace - passed);
  return check;
}

} // namespace pollenway
