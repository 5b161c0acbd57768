#pragma once

#include "HttpTypes.h"
#include "ListedInstance.h"
#include "Result.h"
#include "StoreChanges.h"
#include "StoreCondition.h"
#include "StoreListing.h"
#include "StoreWrite.h"
#include "Time.h"

#include <string>
#include <vector>

namespace pollenway {

/// How current a listing has to be.
enum class ReadFreshness
{
  Current,
  /// It may be seconds old, and costs the store less. Its revision tells how
  /// old, so that a watch from there closes the gap.
  MayBeStale,
};

/// The platform's object API. Each call is one attempt; callers pause for
/// `RetryPause` before they try again. Arguments are taken by value because
/// they must outlive the coroutine's suspensions.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  /// `NotFound` if there is no such object, `StoreUnavailable` without answer.
  virtual Awaitable<Result<StoredObject>> Get(std::string aKind,
                                              std::string aName) = 0;
  /// `StoreUnavailable` without an answer.
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
  /// Waits up to `aTimeout` for writes after revision `aAfter`; `aKind` empty
  /// watches all kinds. `InvalidState` if the store doesn't have the history
  /// after `aAfter`: list again. `StoreUnavailable` without an answer.
  virtual Awaitable<Result<StoreChanges>> Watch(std::string aKind,
                                                uint64_t aAfter,
                                                Duration aTimeout) = 0;
  /// The platform's lagging list of instances.
  virtual Awaitable<Result<std::vector<ListedInstance>>> ListInstances() = 0;

  /// How long to wait before the next call; zero after a success.
  virtual Duration RetryPause() const = 0;

  /// A conditional Put that resolves lost answers: it repeats the write with
  /// the same condition, and takes a conflict after a lost answer for success
  /// if the object then has this value. `aCondition` must not be empty,
  /// because an unconditional repeat could undo a later write. Gives up with
  /// the last outcome after `aTimeout`. `Unknown` remains if an answer was
  /// lost and nothing could be read back, or another value was: then this
  /// write either failed or was already replaced.
  Awaitable<StoreWrite> PutConfirmed(std::string aKind,
                                     std::string aName,
                                     std::string aValue,
                                     StoreCondition aCondition,
                                     Duration aTimeout);
};

} // namespace pollenway
