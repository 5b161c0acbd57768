#pragma once

#include "Error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Path of a document as a whole, for errors that concern no single field.
constexpr std::string_view kDocumentPath = "/";

/// Parses a JSON text into `aDocument`. Returns false and records a
/// `SyntaxError` with line and column, or an `OutOfRange` for a number that no
/// double holds. Each repeated member name of an object is recorded as
/// `Duplicate`, since the JSON library would silently keep the last one; the
/// document is then still returned so that its other errors can be found.
bool ParseJson(std::string_view aText,
               nlohmann::json& aDocument,
               std::vector<Error>& aErrors);

/// The path of a member or array element of `aParent`; control characters are
/// replaced, and "~" and "/" are escaped as in a JSON pointer.
std::string ChildPath(std::string_view aParent, std::string_view aName);

/// `aText` in quotes for a message: bounded in length, one line.
std::string Quoted(std::string_view aText);

} // namespace pollenway
