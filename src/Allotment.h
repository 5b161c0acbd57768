#pragma once

#include "Ids.h"
#include "Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Value of the store object `allotment/<workspace>`: the part of the
/// workspace's rate and burst that each zone may use. Each commit raises the
/// version by one.
class Allotment
{
public:
  /// The whole, in millionths.
  static constexpr uint32_t kWhole = 1'000'000;

  /// Equal fractions, version 1: the value that is created if absent.
  static Allotment Equal(const std::vector<ZoneName>& aZones);

  /// Everything with one zone, version 1.
  static Allotment Single(const ZoneName& aZone);

  /// Reads the JSON text. Errors: SyntaxError, WrongType, MissingField,
  /// UnknownField, OutOfRange (a fraction or the sum is above the whole).
  static Result<Allotment> Parse(std::string_view aText);

  std::string ToJson() const;

  uint64_t Version() const { return mVersion; }

  /// Millionths; 0 for a zone that is not listed.
  uint32_t Fraction(const ZoneName& aZone) const;

  const std::map<ZoneName, uint32_t>& Fractions() const { return mFractions; }

  /// The next version with `aAmount` millionths moved; no more than `aFrom`
  /// has. An `aAmount` of 0 only raises the version, which makes a write that
  /// is still under way for this version fail.
  Allotment Moved(const ZoneName& aFrom,
                  const ZoneName& aTo,
                  uint32_t aAmount) const;

  /// The next version without `aZone`, whose fraction goes to the others in
  /// equal parts. For a zone that an operator removed from the configuration.
  Allotment Without(const ZoneName& aZone) const;

  bool operator==(const Allotment&) const = default;

private:
  void AssertSum() const;

  uint64_t mVersion = 0;
  std::map<ZoneName, uint32_t> mFractions;
};

} // namespace pollenway
