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

/// An element that differs between two inventories.
struct InventoryChange
{
  ElementKind mElement = ElementKind::Region;
  /// The element's name. The name of a link consists of its regions
  /// ("akl - wlg"), that of a route of service, methods and prefix
  /// ("lookup GET,HEAD /stock"). The name of a client block is its prefix.
  std::string mName;
  ChangeKind mKind = ChangeKind::Changed;
  /// All fields of an added or removed element, or only the differing fields of
  /// a changed one, in the order of the JSON form.
  std::vector<FieldChange> mFields;

  bool operator==(const InventoryChange&) const = default;
};

} // namespace pollenway
