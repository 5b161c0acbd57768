#pragma once

#include "HttpTypes.h"
#include "ListedInstance.h"
#include "Result.h"
#include "StoreChanges.h"
#include "StoreCondition.h"
#include "StoreListing.h"
#include "StorePosition.h"
#include "StoreWrite.h"
#include "Time.h"

#include <string>
#include <vector>

namespace pollenway {

/// How current a listing must be.
enum class ReadFreshness
{
  Current,
  /// The listing may be seconds old, which costs the store less. Its revision
  /// shows how old it is; a watch from that revision reports the later changes.
  MayBeStale,
};

/// The platform's object API. Each call makes one attempt; callers wait for
/// `RetryPause` before they retry. Arguments are passed by value because they
/// must outlive the coroutine's suspensions.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  /// Errors: NotFound if there is no such object, StoreUnavailable if the store
  /// did not answer.
  virtual Awaitable<Result<StoredObject>> Get(std::string aKind,
                                              std::string aName) = 0;
  /// Errors: StoreUnavailable if the store did not answer, or was restored
  /// between two pages of the listing.
  virtual Awaitable<Result<StoreListing>> List(std::string aKind,
                                               ReadFreshness aFreshness) = 0;
  /// Values are at most 1 MiB.
  virtual Awaitable<StoreWrite> Put(std::string aKind,
                                    std::string aName,
                                    std::string aValue,
                                    StoreCondition aCondition) = 0;
  virtual Awaitable<StoreWrite> Delete(std::string aKind,
                                       std::string aName,
                                       StoreCondition aCondition) = 0;
  /// Waits up to `aTimeout` for writes after `aAfter`; an empty `aKind` watches
  /// all kinds. Errors: InvalidState if the store does not have the history
  /// after `aAfter`, is in another era, or gives an answer that can't be read
  /// (list again), StoreUnavailable if it did not answer.
  virtual Awaitable<Result<StoreChanges>> Watch(std::string aKind,
                                                StorePosition aAfter,
                                                Duration aTimeout) = 0;
  /// Returns the platform's list of instances, which lags behind.
  virtual Awaitable<Result<std::vector<ListedInstance>>> ListInstances() = 0;

  /// Returns the time to wait before the next call; zero after a success.
  virtual Duration RetryPause() const = 0;

  /// Puts conditionally and resolves lost answers: retries the write with the
  /// same condition, and treats a conflict after a lost answer as success if
  /// the object then has this value. `aCondition` must not be empty, because an
  /// unconditional retry could undo a later write. Returns the last outcome
  /// after `aTimeout`. The outcome stays `Unknown` if an answer was lost and
  /// either nothing could be read back or the object had another value; in the
  /// latter case, this write either failed or was already replaced.
  Awaitable<StoreWrite> PutConfirmed(std::string aKind,
                                     std::string aName,
                                     std::string aValue,
                                     StoreCondition aCondition,
                                     Duration aTimeout);
};

} // namespace pollenway
