#pragma once

#include "Ids.h"
#include "Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Value of the store object `allotment/<workspace>`: the fraction of the
/// workspace's rate and burst that each zone may use. Each commit increments
/// the version by one.
class Allotment
{
public:
  /// The whole, in millionths.
  static constexpr uint32_t kWhole = 1'000'000;

  /// Returns equal fractions for `aZones`, version 1. This is the initial value
  /// of the object.
  static Allotment Equal(const std::vector<ZoneName>& aZones);

  /// Returns the whole for one zone, version 1.
  static Allotment Single(const ZoneName& aZone);

  /// Parses the JSON text. Errors: SyntaxError, WrongType, MissingField,
  /// UnknownField, OutOfRange (the version is 0, or a fraction or the sum
  /// exceeds the whole).
  static Result<Allotment> Parse(std::string_view aText);

  std::string ToJson() const;

  uint64_t Version() const { return mVersion; }

  /// Returns the zone's fraction in millionths; 0 if the zone is not listed.
  uint32_t Fraction(const ZoneName& aZone) const;

  const std::map<ZoneName, uint32_t>& Fractions() const { return mFractions; }

  /// Returns the next version with `aAmount` millionths, or all that `aFrom`
  /// has if that is less, moved to `aTo`. An `aAmount` of 0 only increments the
  /// version, so that an in-flight write based on this version fails.
  Allotment Moved(const ZoneName& aFrom,
                  const ZoneName& aTo,
                  uint32_t aAmount) const;

  /// Returns the next version without `aZone`, with its fraction divided
  /// equally between the others. Used for a zone that an operator removed from
  /// the configuration.
  Allotment Without(const ZoneName& aZone) const;

  bool operator==(const Allotment&) const = default;

private:
  void AssertSum() const;

  uint64_t mVersion = 0;
  std::map<ZoneName, uint32_t> mFractions;
};

} // namespace pollenway
