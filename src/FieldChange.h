#pragma once

#include <string>

namespace pollenway {

/// A field of an element with its value before and after a change, as text on
/// one line. Digests are abbreviated, so that two different ones may look
/// equal here.
struct FieldChange
{
  /// The name in JSON, for instance "rate".
  std::string mField;
  /// Empty if the element was added.
  std::string mOld;
  /// Empty if the element was removed.
  std::string mNew;

  bool operator==(const FieldChange&) const = default;
};

} // namespace pollenway
