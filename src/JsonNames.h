#pragma once

#include "JsonFields.h"

#include <string>
#include <string_view>

namespace pollenway {

/// Returns true for 1 to 64 letters, digits, ".", "_" or "-" that start with a
/// letter or digit. Names appear in object paths, headers and key=value log
/// lines, where separators and spaces would be ambiguous.
bool IsValidName(std::string_view aText);

/// Reads a required member that is a valid name. Records `OutOfRange` and
/// returns "" if the name is invalid.
std::string RequiredNameText(JsonFields& aFields, std::string_view aName);

/// Reads a required name as a `StrongId`, which is empty after an error.
template<typename Id>
Id RequiredName(JsonFields& aFields, std::string_view aName)
{
  return Id(RequiredNameText(aFields, aName));
}

/// Reads a name as a `StrongId`, which is empty if the member is absent or
/// after an error.
template<typename Id>
Id OptionalName(JsonFields& aFields, std::string_view aName)
{
  return aFields.Has(aName) ? RequiredName<Id>(aFields, aName) : Id();
}

/// Reads a required member that is an IPv4 or IPv6 address of a host. Records
/// `OutOfRange` and returns "" if it is not such an address.
std::string RequiredAddress(JsonFields& aFields, std::string_view aName);

} // namespace pollenway
