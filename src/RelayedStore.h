#pragma once

#include "IpEndpoint.h"
#include "ObjectStore.h"
#include "PeerTransport.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace pollenway {

/// Lists and watches objects through the zone's reader, the instance that reads
/// the store for its zone, and directly at the store while the reader is
/// unavailable. Writes and reads of single objects always go to the store.
class RelayedStore : public ObjectStore
{
public:
  /// Returns the endpoint of the zone's reader; empty if this instance is the
  /// reader.
  using FindReader = std::function<std::optional<IpEndpoint>()>;

  struct Options
  {
    /// Maximum wait of the first listing until the zone's reader is known.
    Duration mListDiscoveryTime = kRestartDiscoveryTime;
  };

  /// When all instances start for the first time, there is time before callers
  /// arrive, and many listings at once would be refused by the store.
  static constexpr Duration kFirstDiscoveryTime =
    std::chrono::milliseconds(500);
  /// After a restart, callers are waiting. A seed in another region answers
  /// within a round trip, at most 110 ms.
  static constexpr Duration kRestartDiscoveryTime =
    std::chrono::milliseconds(130);

  RelayedStore(asio::any_io_executor aExecutor,
               ObjectStore& aStore,
               PeerTransport& aPeers,
               FindReader aFindReader,
               Options aOptions);

  Awaitable<Result<StoredObject>> Get(std::string aKind,
                                      std::string aName) override;
  /// The first listing waits for a short time until the zone's reader is known,
  /// and for the reader's own first listing.
  Awaitable<Result<StoreListing>> List(std::string aKind,
                                       ReadFreshness aFreshness) override;
  Awaitable<StoreWrite> Put(std::string aKind,
                            std::string aName,
                            std::string aValue,
                            StoreCondition aCondition) override;
  Awaitable<StoreWrite> Delete(std::string aKind,
                               std::string aName,
                               StoreCondition aCondition) override;
  Awaitable<Result<StoreChanges>> Watch(std::string aKind,
                                        StorePosition aAfter,
                                        Duration aTimeout) override;
  Awaitable<Result<std::vector<ListedInstance>>> ListInstances() override;
  Duration RetryPause() const override { return mStore.RetryPause(); }

  /// Returns true if this instance watches the kind at the store. Only such an
  /// instance may serve others: two instances that followed each other would
  /// miss all changes.
  bool IsReading(const std::string& aKind) const
  {
    return mReading.contains(aKind);
  }

  /// Called when the kind's reader has missed changes: the store is read
  /// directly for a time.
  void MarkUnreliable(const std::string& aKind);

private:
  std::optional<IpEndpoint> ReaderOf(const std::string& aKind) const;
  Awaitable<std::optional<peer::ObjectsRead>> RequestObjects(
    IpEndpoint aReader,
    peer::ReadObjects aRequest);
  void SetReading(const std::string& aKind,
                  bool aIsReading,
                  std::string_view aReason);
  /// Waits until the zone has a reader or the time has passed.
  Awaitable<void> AwaitDiscovery(TimePoint aUntil);

  asio::any_io_executor mExecutor;
  ObjectStore& mStore;
  PeerTransport& mPeers;
  FindReader mFindReader;
  Options mOptions;
  TimePoint mStartedAt;
  std::set<std::string> mReading;
  /// Time until which the kind's reader is not used.
  std::map<std::string, TimePoint> mDirectReadUntil;
};

} // namespace pollenway
