#pragma once

#include "ConfigurationTracker.h"
#include "CutOffKeyPolicy.h"
#include "FleetState.h"
#include "KeyTable.h"
#include "MembershipTable.h"
#include "PeerTransport.h"
#include "StoreClient.h"
#include "WithdrawalSet.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace pollenway {

/// Connects membership, the configuration and tenant keys to peers and the
/// store: carries out the actions of `MembershipTable` and keeps `FleetState`
/// up to date.
class MembershipService
{
public:
  struct Callbacks
  {
    /// Called when a higher generation is in force in `FleetState::mInventory`.
    std::function<void()> mOnInventory;
    /// Called when the members of a zone changed in `FleetState::mDirectory`.
    std::function<void()> mOnDirectory;
    /// Called when another store object changed (allotments, home map,
    /// releases).
    std::function<void(const StoreChange&)> mOnObject;
    /// Called when this process was removed from the view and joins as a new
    /// incarnation: it no longer owns anything.
    std::function<void()> mOnRejoin;
  };

  MembershipService(asio::any_io_executor aExecutor,
                    FleetState& aFleet,
                    StoreClient& aStore,
                    PeerTransport& aTransport,
                    Callbacks aCallbacks);

  void Start();
  /// Starts to leave the view. `IsEnded` returns true once the view in the
  /// store no longer lists this instance.
  void BeginLeave();
  bool IsEnded() const;
  void Stop();

  /// Handles a peer message of the kinds that `MembershipTable::Handle` lists.
  void Handle(const PeerMessage& aMessage);

  /// Returns the workspace of a tenant key. Errors: MissingKey, UnknownKey,
  /// WithdrawnKey, KeyPolicyCutOff.
  Result<WorkspaceName> Authenticate(std::string_view aKey) const;
  /// Called when another member of the zone reports that it holds the watch.
  void OnWatchNotice();

  /// Withdraws a key at once and sends the withdrawal to peers.
  void Withdraw(const KeyId& aKey);

  /// Returns true if this instance may use what it owns now.
  bool MayActAsOwner() const;
  /// Returns true if all members of the zone act by this instance's view.
  bool IsSettled() const;
  void SetLoads(std::vector<peer::LoadSummary> aLoads);
  /// Called when an operator states that the instance's process has ended.
  void OnReleased(const InstanceName& aInstance, Incarnation aIncarnation);

  const MembershipTable& Table() const { return mTable; }
  const ConfigurationTracker& Configuration() const { return mConfiguration; }
  const WithdrawalSet& Withdrawals() const { return mWithdrawals; }

private:
  Awaitable<void> TickLoop();
  Awaitable<void> WatchLoop();
  Awaitable<void> NoticeLoop();
  Awaitable<bool> ListAll();
  Awaitable<void> PlatformListLoop();
  Awaitable<void> ReadView();
  Awaitable<void> WriteView(std::string aText, std::string aVersion);
  Awaitable<void> SleepFor(Duration aTime);
  void ExecuteActions(MembershipActions aActions);
  void OfferConfiguration(uint64_t aGeneration, const std::string& aText);
  void OnStoreChange(const StoreChange& aChange);
  void OnViewAdopted(const ZoneView& aView);
  void RefreshDirectory();
  /// Returns true if this member should hold the zone's watch on the store. The
  /// first member of the view does; a later one takes over if it receives no
  /// notice of a watch.
  bool ShouldHoldWatch() const;
  void NotifyMembers(const peer::ObjectChanged& aNotice);
  void Rejoin();

  asio::any_io_executor mExecutor;
  FleetState& mFleet;
  StoreClient& mStore;
  PeerTransport& mTransport;
  Callbacks mCallbacks;
  ConfigurationTracker mConfiguration;
  WithdrawalSet mWithdrawals;
  CutOffKeyPolicy mCutOff;
  KeyTable mKeys;
  MembershipTable mTable;
  asio::steady_timer mTickTimer;
  /// Last time that a notice from the holder of the zone's watch was received.
  TimePoint mLastWatchNoticeAt;
  bool mIsWatchHolder = false;
  bool mStopping = false;
};

} // namespace pollenway
