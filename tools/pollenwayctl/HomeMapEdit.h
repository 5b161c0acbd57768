#pragma once

#include "Ids.h"
#include "Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pollenway {

/// The store object `homemap/current`, after a move of partitions.
struct HomeMapEdit
{
  std::string mText;
  /// Partitions that moved.
  unsigned mMoved = 0;

  /// Moves all partitions of `aFrom` to `aTo`, whose present view is
  /// `aToView`: what ran before it is unknown to the new home. Errors:
  /// SyntaxError, WrongType.
  static Result<HomeMapEdit> Move(std::string_view aText,
                                  const ZoneName& aFrom,
                                  const ZoneName& aTo,
                                  uint64_t aToView);
  /// Partitions of a zone; 0 if the text is no map.
  static unsigned Count(std::string_view aText, const ZoneName& aZone);
};

} // namespace pollenway
