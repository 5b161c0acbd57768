#pragma once

#include "AccountClient.h"
#include "AccountHolder.h"
#include "Random.h"

#include <optional>
#include <vector>

/// A small fleet for the lessons on limits. Each of the two zones has an owner
/// of one workspace's account and a second instance, which sends its requests
/// to the owner. Messages arrive without delay; the lesson passes in the time.
class TwoZones
{
public:
  static constexpr size_t kZones = 2;

  /// `aRate` in requests/s and `aBurst` in requests apply to the whole fleet.
  TwoZones(double aRate, double aBurst)
  {
    for (size_t n = 0; n < kZones; ++n) {
      const AccountHolder::Peer other{ mZones[1 - n],
                                       std::chrono::milliseconds(5) };
      mOwners.emplace_back(OwnerName(n),
                           mZones[n],
                           std::vector<AccountHolder::Peer>{ other },
                           AccountHolder::Options{});
      mClients.emplace_back(ClientName(n), mZones[n], AccountClient::Options{});
      // The owner is the only member of view 1, so no instance has an account
      // to hand over.
      mOwners[n].BeginTakeover(1, {}, {});
      mOwners[n].SetTotal(1, aRate, aBurst, {});
    }
  }

  /// While the zones are cut off, no message passes between them or to the
  /// store.
  void SetCutOff(bool aIsCutOff) { mIsCutOff = aIsCutOff; }

  /// Processes a caller's request at the zone's instance that isn't the owner.
  void Request(size_t aZone, pollenway::TimePoint aNow)
  {
    Handle(aZone, mClients[aZone].Admit(aNow), aNow);
  }

  /// Performs the periodic work of all instances; called about every 50 ms.
  void Tick(pollenway::TimePoint aNow)
  {
    for (size_t n = 0; n < kZones; ++n) {
      mRefused[n] += mClients[n].OnTimer(aNow).size();
      ApplyActions(n, mOwners[n].OnTimer(aNow, true), aNow);
      if (mIsCutOff) {
        continue;
      }
      mOwners[1 - n].OnZoneReport(
        mZones[n], mOwners[n].Demand(aNow), mOwners[n].Tokens(aNow), aNow);
      UseStore(n, aNow);
    }
  }

  uint64_t Admitted(size_t aZone) const { return mAdmitted[aZone]; }
  uint64_t Refused(size_t aZone) const { return mRefused[aZone]; }

private:
  using InstanceName = pollenway::InstanceName;
  using AccountHolder = pollenway::AccountHolder;
  using AccountClient = pollenway::AccountClient;

  InstanceName OwnerName(size_t aZone) const
  {
    return InstanceName(mZones[aZone].Text() + "-owner");
  }
  InstanceName ClientName(size_t aZone) const
  {
    return InstanceName(mZones[aZone].Text() + "-client");
  }

  /// Reads and conditionally updates the store object `allotment/<workspace>`,
  /// which divides rate and burst between the zones.
  void UseStore(size_t aZone, pollenway::TimePoint aNow)
  {
    auto& owner = mOwners[aZone];
    if (const auto serial = owner.NeededRead()) {
      owner.OnStoreRead(*serial, mStored, aNow);
    }
    const auto write = owner.NextWrite(aNow, true);
    if (!write) {
      return;
    }
    const uint64_t version = mStored ? mStored->Version() : 0;
    const bool isCurrent = write->mBaseVersion == version;
    if (isCurrent) {
      mStored = write->mValue;
      mOwners[1 - aZone].OnCommitted(*mStored, aNow);
    }
    owner.OnWriteResult(write->mSerial,
                        isCurrent ? pollenway::MoveOutcome::Committed
                                  : pollenway::MoveOutcome::Conflict,
                        aNow);
  }

  void Handle(size_t aZone,
              const AccountClient::Decision& aDecision,
              pollenway::TimePoint aNow)
  {
    switch (aDecision.mVerdict) {
      case AccountClient::Verdict::Granted:
        ++mAdmitted[aZone];
        break;
      case AccountClient::Verdict::Refused:
        ++mRefused[aZone];
        break;
      case AccountClient::Verdict::Ask:
        SendRequest(aZone, aDecision.mTo, aDecision.mRequest, aNow);
        break;
      case AccountClient::Verdict::Ignored:
        break;
    }
  }

  void SendRequest(size_t aFrom,
                   const pollenway::ZoneName& aTo,
                   const pollenway::AdmitRequest& aRequest,
                   pollenway::TimePoint aNow)
  {
    const size_t to = aTo == mZones[0] ? 0 : 1;
    if (to == aFrom || !mIsCutOff) {
      ApplyActions(to, mOwners[to].Admit(aRequest, aNow, true), aNow);
    }
  }

  /// Delivers the messages that the owner of a zone returned.
  void ApplyActions(size_t aZone,
                    const AccountHolder::Actions& aActions,
                    pollenway::TimePoint aNow)
  {
    for (const auto& it : aActions.mRequests) {
      SendRequest(aZone, it.mTo, it.mRequest, aNow);
    }
    for (const auto& it : aActions.mReplies) {
      for (size_t n = 0; n < kZones; ++n) {
        if (mIsCutOff && n != aZone) {
          continue;
        }
        if (it.mToOwner && it.mTo == OwnerName(n)) {
          ApplyActions(n, mOwners[n].OnReply(it.mReply, aNow, true), aNow);
        } else if (!it.mToOwner && it.mTo == ClientName(n)) {
          Handle(n, mClients[n].OnReply(it.mReply, aNow), aNow);
        }
      }
    }
  }

  const pollenway::ZoneName mZones[kZones] = { pollenway::ZoneName("east"),
                                               pollenway::ZoneName("west") };
  std::vector<AccountHolder> mOwners;
  std::vector<AccountClient> mClients;
  std::optional<pollenway::Allotment> mStored;
  bool mIsCutOff = false;
  uint64_t mAdmitted[kZones] = {};
  uint64_t mRefused[kZones] = {};
};
