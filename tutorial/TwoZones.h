#pragma once

#include "AccountClient.h"
#include "AccountHolder.h"
#include "Random.h"

#include <optional>
#include <vector>

/// A small fleet for the lessons on limits: two zones, each with the owner of
/// one workspace's account and one more instance that asks the owner. Messages
/// arrive at once; time is passed in by the lesson.
class TwoZones
{
public:
  static constexpr size_t kZones = 2;

  /// Rate in requests/s and burst in requests, of the whole fleet.
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
      // The owner is alone in view 1, so nobody has an account to hand over.
      mOwners[n].BeginTakeover(1, {}, {});
      mOwners[n].SetTotal(1, aRate, aBurst, {});
    }
  }

  /// While cut, no message passes between the zones or to the store.
  void SetCut(bool aCut) { mCut = aCut; }

  /// A caller's request at the instance of the zone that is not the owner.
  void Request(size_t aZone, pollenway::TimePoint aNow)
  {
    Handle(aZone, mClients[aZone].Admit(aNow), aNow);
  }

  /// What an instance does every 50 ms or so.
  void Tick(pollenway::TimePoint aNow)
  {
    for (size_t n = 0; n < kZones; ++n) {
      mRefused[n] += mClients[n].OnTimer(aNow).size();
      Carry(n, mOwners[n].OnTimer(aNow, true), aNow);
      if (mCut) {
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

  /// Reads and conditional updates of the store object `allotment/<workspace>`,
  /// which divides the rate and burst between the zones.
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
    const bool fits = write->mBaseVersion == version;
    if (fits) {
      mStored = write->mValue;
      mOwners[1 - aZone].OnCommitted(*mStored, aNow);
    }
    owner.OnWriteResult(write->mSerial,
                        fits ? pollenway::MoveOutcome::Committed
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
        Ask(aZone, aDecision.mTo, aDecision.mRequest, aNow);
        break;
      case AccountClient::Verdict::Ignored:
        break;
    }
  }

  void Ask(size_t aFrom,
           const pollenway::ZoneName& aTo,
           const pollenway::AdmitRequest& aRequest,
           pollenway::TimePoint aNow)
  {
    const size_t to = aTo == mZones[0] ? 0 : 1;
    if (to == aFrom || !mCut) {
      Carry(to, mOwners[to].Admit(aRequest, aNow, true), aNow);
    }
  }

  /// Delivers the messages that the owner of a zone wants to send.
  void Carry(size_t aZone,
             const AccountHolder::Actions& aActions,
             pollenway::TimePoint aNow)
  {
    for (const auto& it : aActions.mRequests) {
      Ask(aZone, it.mTo, it.mRequest, aNow);
    }
    for (const auto& it : aActions.mReplies) {
      for (size_t n = 0; n < kZones; ++n) {
        if (mCut && n != aZone) {
          continue;
        }
        if (it.mToOwner && it.mTo == OwnerName(n)) {
          Carry(n, mOwners[n].OnReply(it.mReply, aNow, true), aNow);
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
  bool mCut = false;
  uint64_t mAdmitted[kZones] = {};
  uint64_t mRefused[kZones] = {};
};
