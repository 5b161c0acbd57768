#pragma once

#include "CommandResult.h"
#include "Inventory.h"
#include "ObjectStore.h"
#include "Validated.h"

#include <functional>
#include <optional>

namespace pollenway {

/// The configuration in the store, as it was read.
struct CurrentConfiguration
{
  /// Version of the store object; none if there is no configuration yet.
  std::optional<uint64_t> mVersion = std::nullopt;
  /// Empty, with generation 0, if there is no configuration yet.
  Inventory mInventory;
};

/// Reads and changes the store object `configuration/current`. Every change is
/// a conditional update of the version that was read, so that of two operators
/// who change the configuration at the same time one gets a conflict.
class ConfigurationStore
{
public:
  /// `aWriteRetryTimeout` bounds how long a write is repeated.
  ConfigurationStore(ObjectStore& aStore, Duration aWriteRetryTimeout)
    : mStore(aStore)
    , mWriteRetryTimeout(aWriteRetryTimeout)
  {
  }

  /// `StoreUnavailable`, or `InvalidState` if the stored text is invalid.
  Awaitable<Result<CurrentConfiguration>> Read();

  /// Writes `aNext` with the next generation, above `aAboveGeneration`. Writes
  /// nothing if it equals the current one and that is already above
  /// `aAboveGeneration`. The result lists the changes and the generation in
  /// force.
  Awaitable<CommandResult> Commit(CurrentConfiguration aCurrent,
                                  Inventory aNext,
                                  uint64_t aAboveGeneration);

  using Edit = std::function<Result<Inventory>(const Inventory&)>;

  /// Reads, edits and commits. Fails with `NotFound` without a configuration.
  Awaitable<CommandResult> Change(Edit aEdit);

private:
  ObjectStore& mStore;
  Duration mWriteRetryTimeout;
};

/// The differences in both forms; "no changes" if there are none.
CommandResult DescribeChanges(const Inventory& aOld, const Inventory& aNew);

} // namespace pollenway
