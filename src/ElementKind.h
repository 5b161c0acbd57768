#pragma once

#include <string_view>

namespace pollenway {

/// The kinds of elements that an inventory declares.
enum class ElementKind
{
  Region,
  Link,
  Place,
  Service,
  Route,
  Target,
  Workspace,
  Key,
  ClientBlock,
  Shift,
};

/// Returns the display name of a kind, for instance "client block".
std::string_view Name(ElementKind aKind);

} // namespace pollenway
