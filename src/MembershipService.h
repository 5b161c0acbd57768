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

/// Connects the core's membership, configuration and key objects to peers and
/// store: carries out their actions and keeps `FleetState` up to date.
class MembershipService
{
public:
  struct Callbacks
  {
    /// A higher generation is in force in `FleetState::mInventory`.
    std::function<void()> mOnInventory;
    /// The members of some zone changed in `FleetState::mDirectory`.
    std::function<void()> mOnDirectory;
    /// Another object of the store changed (allotments, home map, releases).
    std::function<void(const StoreChange&)> mOnObject;
    /// This process lost its place in the view and joins as a new run: all
    /// that it owned is void.
    std::function<void()> mOnRejoin;
  };

  MembershipService(asio::any_io_executor aExecutor,
                    FleetState& aFleet,
                    StoreClient& aStore,
                    PeerTransport& aTransport,
                    Callbacks aCallbacks);

  void Start();
  /// Leaves the view. `IsEnded` tells when the store shows it.
  void BeginLeave();
  bool IsEnded() const;
  void Stop();

  /// Handles a peer's message of one of membership's kinds.
  void Handle(const PeerMessage& aMessage);

  /// The workspace of a tenant key. Errors: MissingKey, UnknownKey,
  /// WithdrawnKey, KeyPolicyCutOff.
  Result<WorkspaceName> Authenticate(std::string_view aKey) const;
  /// Another member of the zone holds the watch.
  void OnWatchNotice();

  /// Withdraws a key at once and tells peers.
  void Withdraw(const KeyId& aKey);

  /// May this instance use what it owns, now?
  bool MayActAsOwner() const;
  /// Do all members of the zone act by this instance's view?
  bool IsSettled() const;
  void SetLoads(std::vector<peer::LoadSummary> aLoads);
  /// An operator states that the instance's process has ended.
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
  /// Does this member hold the zone's watch? The first member of the view
  /// does; a later one takes over if it hears no notice of a watch.
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
  /// When a member that holds the zone's watch was heard last.
  TimePoint mLastWatchNoticeAt;
  bool mHoldsWatch = false;
  bool mStopping = false;
};

} // namespace pollenway
