#pragma once

#include "InstanceRoster.h"
#include "ObjectStore.h"
#include "Time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <optional>
#include <string>

namespace pollenway {

/// Keeps the endpoints of the zones' delegates in the store, for instances that
/// start while their seeds are down, and for parts of the deployment that no
/// longer know each other's instances. A delegate writes its entry once, and
/// again after the store was restored from an older copy, which may lack it.
class InstanceRegistry
{
public:
  struct Options
  {
    std::string mKind;
    ZoneName mZone;
    IpEndpoint mSelf;
    /// True if the store has no objects of this kind yet.
    bool mIsFirstStart = false;
  };
  struct Callbacks
  {
    /// Returns this instance's position among its zone's delegates, counted
    /// from 0; empty if it is none of them.
    std::function<std::optional<size_t>()> mPosition;
    /// Returns true if no instance, or none of some zone, is known.
    std::function<bool()> mNeedsListing;
    std::function<void(const InstanceRoster&)> mOnListing;
    /// Returns the time at which the store was restored from an older copy, or
    /// the zero time if never; may be empty.
    std::function<TimePoint()> mRestoredAt = {};
  };

  InstanceRegistry(asio::any_io_executor aExecutor,
                   ObjectStore& aStore,
                   Options aOptions,
                   Callbacks aCallbacks);

  void Start();

private:
  Awaitable<void> Run();
  /// After a restore of the store, the entry counts as not written.
  void CheckRestore();
  Awaitable<void> Write(size_t aPosition);
  Awaitable<void> List();

  asio::any_io_executor mExecutor;
  ObjectStore& mStore;
  Options mOptions;
  Callbacks mCallbacks;
  bool mIsWritten = false;
  /// Time of the last restore that was taken into account.
  TimePoint mRestoredAt{};
};

} // namespace pollenway
