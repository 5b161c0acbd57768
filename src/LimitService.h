#pragma once

#include "AccountClient.h"
#include "AccountHolder.h"
#include "MembershipService.h"

#include <map>
#include <memory>

namespace pollenway {

/// Admits requests within the workspaces' fleet-wide rates. Manages the
/// accounts that this instance owns in its zone, and requests tokens for other
/// accounts from their owners.
class LimitService
{
public:
  struct Decision
  {
    /// Ok, RateExceeded or LimitOwnerUnavailable.
    ResultCode mCode = ResultCode::LimitOwnerUnavailable;
    Duration mRetryAfter{};
  };

  struct Counts
  {
    uint64_t mAdmitted = 0;
    uint64_t mRefused = 0;
    /// Number of requests and replies between instances.
    uint64_t mMessages = 0;
  };

  LimitService(asio::any_io_executor aExecutor,
               FleetState& aFleet,
               StoreClient& aStore,
               PeerTransport& aTransport,
               MembershipService& aMembership);
  ~LimitService();

  void Start();
  void Stop();

  /// Takes one token of the workspace's fleet-wide rate.
  Awaitable<Decision> Admit(WorkspaceName aWorkspace);

  /// Handles a peer's `Admit`.
  Awaitable<std::optional<PeerBody>> HandleAdmit(PeerMessage aMessage);
  /// Handles a new owner's request for the account. This instance stops using
  /// the account.
  std::optional<PeerBody> HandleHandover(const peer::AccountHandover& aRequest);

  void OnInventory();
  /// Called when this process joined its zone as a new incarnation. Discards
  /// all accounts.
  void OnRejoin();
  /// Called when the members of a zone changed, as owners may have changed.
  void UpdateOwners();
  /// Called when an `allotment` object changed in the store.
  void OnAllotment(const std::string& aWorkspace, const std::string& aValue);

  const Counts& GetCounts() const { return mCounts; }

  /// State of one account for the state dump.
  struct AccountSummary
  {
    WorkspaceName mWorkspace;
    InstanceName mOwner;
    bool mIsOwner = false;
    double mTokens = 0;
    double mDemand = 0;
    uint32_t mFraction = 0;
  };
  std::vector<AccountSummary> Accounts();

private:
  struct Account;
  struct Waiter;
  /// Identifies a request at the answering owner.
  struct ReplyKey
  {
    WorkspaceName mWorkspace;
    InstanceName mFrom;
    bool mFromOwner = false;
    uint64_t mId = 0;

    auto operator<=>(const ReplyKey&) const = default;
  };

  Awaitable<void> TimerLoop();
  Awaitable<AccountClient::Decision> AdmitOnce(WorkspaceName aWorkspace);
  /// Requests tokens from other zones' owners instead of the local owner.
  Awaitable<AccountClient::Decision> AdmitViaOtherZone(
    WorkspaceName aWorkspace,
    AccountClient::Decision aRefusal);
  Awaitable<AdmitReply> AskOwner(WorkspaceName aWorkspace,
                                 ZoneName aZone,
                                 AdmitRequest aRequest);
  Awaitable<AdmitReply> AskHolder(WorkspaceName aWorkspace,
                                  AdmitRequest aRequest);
  Awaitable<void> AskZone(WorkspaceName aWorkspace,
                          AccountHolder::RequestAction aAction);
  Awaitable<void> ReadAllotment(WorkspaceName aWorkspace, uint64_t aSerial);
  Awaitable<void> WriteAllotment(WorkspaceName aWorkspace,
                                 AllotmentWrite aWrite);
  void ScheduleTimer(const WorkspaceName& aWorkspace);
  Awaitable<void> RunTimer(WorkspaceName aWorkspace, TimePoint aAt);
  void ExecuteActions(const WorkspaceName& aWorkspace,
                      AccountHolder::Actions aActions);
  void AskForHandovers(const WorkspaceName& aWorkspace,
                       const Account& aAccount);
  Awaitable<void> AskForHandover(WorkspaceName aWorkspace,
                                 uint64_t aView,
                                 InstanceInfo aFrom);
  void UpdateOwner(const WorkspaceName& aWorkspace, Account& aAccount);
  const InstanceInfo* OwnerIn(const ZoneName& aZone,
                              const WorkspaceName& aWorkspace) const;
  std::vector<AccountHolder::Peer> OtherZones() const;

  asio::any_io_executor mExecutor;
  FleetState& mFleet;
  StoreClient& mStore;
  PeerTransport& mTransport;
  MembershipService& mMembership;
  std::map<WorkspaceName, Account> mAccounts;
  std::map<ReplyKey, std::shared_ptr<Waiter>> mWaiters;
  asio::steady_timer mTimer;
  Counts mCounts;
  bool mStopping = false;
};

} // namespace pollenway
