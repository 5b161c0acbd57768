#pragma once

#include "IpEndpoint.h"
#include "ObjectStore.h"
#include "PeerTransport.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace pollenway {

/// Reads kinds of objects through the instance that reads the store for its
/// zone, and from the store itself while that one can't be asked. Writes and
/// single objects always go to the store.
class RelayedStore : public ObjectStore
{
public:
  /// Where to ask the instance that reads; empty if it is this one.
  using FindReader = std::function<std::optional<IpEndpoint>()>;

  RelayedStore(asio::any_io_executor aExecutor,
               ObjectStore& aStore,
               PeerTransport& aPeers,
               FindReader aFindReader);

  Awaitable<Result<StoredObject>> Get(std::string aKind,
                                      std::string aName) override;
  /// A listing that may be stale comes from the store: it is cheap there.
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
                                        uint64_t aAfter,
                                        Duration aTimeout) override;
  Awaitable<Result<std::vector<ListedInstance>>> ListInstances() override;
  Duration RetryPause() const override { return mStore.RetryPause(); }

  /// This instance follows the kind at the store. Only such an instance may
  /// answer others: two that followed each other would miss all changes.
  bool IsReading(const std::string& aKind) const
  {
    return mReading.contains(aKind);
  }

  /// The kind's reader has missed changes; the store is read for a while.
  void MarkUnreliable(const std::string& aKind);

private:
  std::optional<IpEndpoint> ReaderOf(const std::string& aKind) const;
  Awaitable<std::optional<peer::ObjectsRead>> RequestObjects(
    IpEndpoint aReader,
    peer::ReadObjects aRequest);
  void SetReading(const std::string& aKind,
                  bool aIsReading,
                  std::string_view aReason);
  Awaitable<void> AwaitDiscovery();

  asio::any_io_executor mExecutor;
  ObjectStore& mStore;
  PeerTransport& mPeers;
  FindReader mFindReader;
  TimePoint mDiscoveryUntil;
  std::set<std::string> mReading;
  /// Until then the kind's reader is not asked.
  std::map<std::string, TimePoint> mDirectReadUntil;
};

} // namespace pollenway
