#pragma once

#include "CommandResult.h"
#include "Inventory.h"
#include "ObjectStore.h"
#include "Validated.h"

#include <functional>
#include <optional>

namespace pollenway {

/// The configuration as read from the store.
struct CurrentConfiguration
{
  /// Version of the store object; `nullopt` if there is no configuration.
  std::optional<uint64_t> mVersion = std::nullopt;
  /// Empty, with generation 0, if there is no configuration.
  Inventory mInventory;
};

/// Reads and updates the store object `configuration/current`. Every update is
/// conditional on the version that was read: if two operators change the
/// configuration concurrently, one of them gets a conflict.
class ConfigurationStore
{
public:
  /// `aWriteRetryTimeout` limits how long a write is retried.
  ConfigurationStore(ObjectStore& aStore, Duration aWriteRetryTimeout)
    : mStore(aStore)
    , mWriteRetryTimeout(aWriteRetryTimeout)
  {
  }

  /// Fails with `StoreUnavailable`, or with `InvalidState` if the stored text
  /// is invalid.
  Awaitable<Result<CurrentConfiguration>> Read();

  /// Writes `aNext` with the next generation that is greater than
  /// `aAboveGeneration`. Writes nothing if `aNext` equals the current
  /// configuration and the current generation is already greater than
  /// `aAboveGeneration`. The result lists the changes and the generation.
  Awaitable<CommandResult> Commit(CurrentConfiguration aCurrent,
                                  Inventory aNext,
                                  uint64_t aAboveGeneration);

  using Edit = std::function<Result<Inventory>(const Inventory&)>;

  /// Reads, edits and commits the configuration. Fails with `NotFound` if there
  /// is none.
  Awaitable<CommandResult> Change(Edit aEdit);

private:
  ObjectStore& mStore;
  Duration mWriteRetryTimeout;
};

/// Returns the differences as table and JSON output; "no changes" if there are
/// none.
CommandResult DescribeChanges(const Inventory& aOld, const Inventory& aNew);

} // namespace pollenway
