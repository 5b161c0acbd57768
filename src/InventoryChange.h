#pragma once

#include "ElementKind.h"
#include "FieldChange.h"

#include <string>
#include <vector>

namespace pollenway {

enum class ChangeKind
{
  Added,
  Removed,
  Changed,
};

/// One element that differs between two inventories.
struct InventoryChange
{
  ElementKind mElement = ElementKind::Region;
  /// The element's name. A link is named by its regions ("akl - wlg"), a route
  /// by service, methods and prefix ("lookup GET,HEAD /stock"), a client block
  /// by its prefix.
  std::string mName;
  ChangeKind mKind = ChangeKind::Changed;
  /// All fields of an added or removed element, the differing fields of a
  /// changed one; in the order of the JSON form.
  std::vector<FieldChange> mFields;

  bool operator==(const InventoryChange&) const = default;
};

} // namespace pollenway
