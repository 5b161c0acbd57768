#pragma once

#include "JsonFields.h"
#include "Lifecycle.h"
#include "Route.h"
#include "ShiftDeclaration.h"

namespace pollenway {

// JSON texts of the inventory's enumerations, used for reading and writing.

inline constexpr EnumText<Lifecycle> kLifecycleTexts[] = {
  { "live", Lifecycle::Live },
  { "draining", Lifecycle::Draining },
  { "retired", Lifecycle::Retired },
};

inline constexpr EnumText<RouteAccess> kRouteAccessTexts[] = {
  { "keyed", RouteAccess::Keyed },
  { "open", RouteAccess::Open },
};

inline constexpr EnumText<RouteExecution> kRouteExecutionTexts[] = {
  { "idempotent", RouteExecution::Idempotent },
  { "at-most-once", RouteExecution::AtMostOnce },
  { "unprotected", RouteExecution::Unprotected },
};

inline constexpr EnumText<ShiftState> kShiftStateTexts[] = {
  { "running", ShiftState::Running },
  { "paused", ShiftState::Paused },
  { "rolled-back", ShiftState::RolledBack },
  { "done", ShiftState::Done },
};

/// Returns the text of `aValue`; the table must contain all values.
template<typename Enum, size_t N>
std::string_view TextOf(const EnumText<Enum> (&aTable)[N], Enum aValue)
{
  for (const auto& it : aTable) {
    if (it.mValue == aValue) {
      return it.mText;
    }
  }
  return aTable[0].mText;
}

} // namespace pollenway
