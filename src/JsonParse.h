#pragma once

#include "Error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Path of the whole document, for errors that do not concern a single field.
constexpr std::string_view kDocumentPath = "/";

/// Parses a JSON text into `aDocument`. Returns false and records a
/// `SyntaxError` with line and column, or `OutOfRange` for a number that a
/// double cannot represent. Each repeated member name of an object is recorded
/// as `Duplicate`, because the JSON library would silently keep the last one;
/// the function still returns the document, so that its other errors can be
/// found.
bool ParseJson(std::string_view aText,
               nlohmann::json& aDocument,
               std::vector<Error>& aErrors);

/// Returns the path of a member or array element of `aParent`. Control
/// characters are replaced, and "~" and "/" are escaped as in a JSON pointer.
std::string ChildPath(std::string_view aParent, std::string_view aName);

/// Returns `aText` in quotes for a message, truncated to a maximum length and
/// with control and non-ASCII characters replaced.
std::string Quoted(std::string_view aText);

} // namespace pollenway
