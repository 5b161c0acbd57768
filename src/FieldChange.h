#pragma once

#include <string>

namespace pollenway {

/// A field of an element with its values before and after a change, each as
/// one line of text. Digests are abbreviated, so different digests may have
/// equal texts here.
struct FieldChange
{
  /// Name of the field in JSON, for instance "rate".
  std::string mField;
  /// Empty if the element was added.
  std::string mOld;
  /// Empty if the element was removed.
  std::string mNew;

  bool operator==(const FieldChange&) const = default;
};

} // namespace pollenway
