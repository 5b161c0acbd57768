#pragma once

#include "ExchangeFields.h"
#include "IpEndpoint.h"
#include "LookupQuery.h"
#include "RegisteredTarget.h"
#include "Result.h"
#include "RoutingTable.h"
#include "TargetLoad.h"
#include "Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Kinds and names of the store's objects that an instance reads and writes.
struct StoreNames
{
  std::string mConfigurationKind;
  std::string mConfigurationName;
  std::string mTargetKind;
  /// Objects of this kind name the availability zones to evacuate.
  std::string mEvacuationKind;
  /// The system's own kind, with one object for each instance.
  std::string mInstanceKind;
};

/// Defines a platform's names and formats. Converts between them and the
/// system's types, and makes no decisions.
class PlatformAdapter
{
public:
  virtual ~PlatformAdapter() = default;

  virtual const StoreNames& Names() const = 0;
  virtual const ExchangeFields& Fields() const = 0;

  /// Errors contain the path of the field that could not be read.
  virtual Result<RoutingTable::Parts> ReadConfiguration(
    std::string_view aValue) const = 0;
  virtual Result<RegisteredTarget> ReadTarget(
    const std::string& aName,
    std::string_view aValue) const = 0;

  virtual std::optional<Duration> ReadDeadline(
    std::string_view aText) const = 0;
  virtual std::string WriteDeadline(Duration aLeft) const = 0;
  virtual std::string WriteRetryAfter(Duration aTime) const = 0;
  virtual std::optional<TargetLoad> ReadLoad(std::string_view aText) const = 0;
  /// Returns true if the field's value says that the target is leaving.
  virtual bool ReadLeaving(std::string_view aText) const = 0;
  /// Returns the time for which a target wants no requests; empty if the value
  /// can't be read.
  virtual std::optional<Duration> ReadRetryAfter(
    std::string_view aText) const = 0;

  /// Errors: NotFound if the request target is not a look-up, BadRequest if its
  /// query is malformed.
  virtual Result<LookupQuery> ReadLookup(
    std::string_view aRequestTarget) const = 0;
  virtual std::string WriteLookupAnswer(
    const std::vector<IpEndpoint>& aInstances,
    Duration aTtl) const = 0;
  /// Returns the path at which the platform checks whether the instance is
  /// ready.
  virtual std::string_view ReadyPath() const = 0;
};

} // namespace pollenway
