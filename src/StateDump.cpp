#include "StateDump.h"

#include "Allotment.h"
#include "InventoryTexts.h"
#include "MetricsWriter.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

using nlohmann::json;

constexpr EnumText<ZoneMembership::State> kMembershipTexts[] = {
  { "joining", ZoneMembership::State::Joining },
  { "member", ZoneMembership::State::Member },
  { "leaving", ZoneMembership::State::Leaving },
  { "ended", ZoneMembership::State::Ended },
};

constexpr EnumText<SlotState> kSlotStateTexts[] = {
  { "free", SlotState::Free },
  { "full", SlotState::Full },
  { "draining", SlotState::Draining },
  { "awaiting-handover", SlotState::AwaitingHandover },
  { "not-owned", SlotState::NotOwned },
};

constexpr EnumText<HomeRole> kHomeRoleTexts[] = {
  { "none", HomeRole::None },       { "collecting", HomeRole::Collecting },
  { "pulling", HomeRole::Pulling }, { "syncing", HomeRole::Syncing },
  { "serving", HomeRole::Serving },
};

json ViewJson(const ZoneView& aView)
{
  json members = json::array();
  for (const auto& it : aView.mMembers) {
    members.push_back({ { "name", it.mName.Text() },
                        { "incarnation", it.mIncarnation },
                        { "address", it.mAddress },
                        { "caller_port", it.mEntryPort } });
  }
  return { { "zone", aView.mZone.Text() },
           { "number", aView.mNumber },
           { "members", std::move(members) } };
}

} // namespace

nlohmann::json WithdrawalReportJson(const MembershipTable& aTable)
{
  json out = json::array();
  for (const auto& it : aTable.WithdrawalReport()) {
    out.push_back({ { "zone", it.mZone.Text() },
                    { "members", it.mMembers },
                    { "confirmed", it.mConfirmed } });
  }
  return out;
}

StateDump::StateDump(Sources aSources)
  : mSources(aSources)
{
}

nlohmann::json StateDump::State(TimePoint aNow)
{
  const auto& fleet = mSources.mFleet;
  const auto& configuration = mSources.mMembership.Configuration();
  return { { "name", fleet.mSelf.mName.Text() },
           { "zone", fleet.mSelf.mZone.Text() },
           { "incarnation", fleet.mSelf.mIncarnation },
           { "leaving", fleet.mLeaving },
           { "configuration",
             { { "generation", configuration.Generation() },
               { "hash", configuration.Hash() } } },
           { "membership", Membership() },
           { "zones", Zones() },
           { "accounts", Accounts() },
           { "homes", Homes() },
           { "targets", OwnedTargets(aNow) },
           { "services", Services(aNow) },
           { "withdrawals", Withdrawals() },
           { "shifts", Shifts() },
           { "store_calls", StoreCalls() },
           { "peers", Peers() } };
}

nlohmann::json StateDump::Membership() const
{
  const auto& zone = mSources.mMembership.Table().Zone();
  return { { "state", TextOf(kMembershipTexts, zone.GetState()) },
           { "acting_view", zone.ActingView() },
           { "settled", mSources.mMembership.IsSettled() },
           { "may_use", mSources.mMembership.MayActAsOwner() } };
}

nlohmann::json StateDump::Zones() const
{
  const auto& table = mSources.mMembership.Table();
  json out = json::array();
  out.push_back(ViewJson(table.Zone().View()));
  for (const auto& [zone, view] : table.RemoteViews()) {
    if (zone != table.Zone().Zone()) {
      out.push_back(ViewJson(view));
    }
  }
  return out;
}

nlohmann::json StateDump::Accounts()
{
  json out = json::array();
  for (const auto& it : mSources.mLimits.Accounts()) {
    out.push_back({ { "workspace", it.mWorkspace.Text() },
                    { "owner", it.mOwner.Text() },
                    { "is_owner", it.mIsOwner },
                    { "tokens", it.mTokens },
                    { "demand", it.mDemand },
                    { "fraction", double(it.mFraction) / Allotment::kWhole } });
  }
  return out;
}

nlohmann::json StateDump::Homes() const
{
  const auto& table = mSources.mHomes.Table();
  json partitions = json::object();
  for (const auto& it : kHomeRoleTexts) {
    partitions[std::string(it.mText)] = table.Count(it.mValue);
  }
  return { { "map_version", mSources.mHomes.Directory().Map().mVersion },
           { "partitions", std::move(partitions) },
           { "records", table.Records() },
           { "answer_bytes", table.AnswerBytes() },
           { "open_reports", mSources.mHomes.OpenReports() } };
}

nlohmann::json StateDump::OwnedTargets(TimePoint aNow)
{
  auto& slots = mSources.mDispatcher.Slots();
  json out = json::array();
  for (const auto& it : mSources.mTargets.Owned()) {
    out.push_back({ { "target", it.Text() },
                    { "state", TextOf(kSlotStateTexts, slots.State(it, aNow)) },
                    { "occupied", slots.OccupiedSlots(it, aNow) },
                    { "in_flight", slots.InFlight(it) },
                    { "connections", slots.Connections(it) },
                    { "queued", mSources.mDispatcher.Queued(it) } });
  }
  return out;
}

nlohmann::json StateDump::Services(TimePoint aNow) const
{
  const auto& budgets = mSources.mFrontend.Budgets();
  json out = json::array();
  for (const auto& [service, selector] : mSources.mFrontend.Selectors()) {
    json targets = json::array();
    for (const auto& it : selector.Assess({}, aNow)) {
      targets.push_back({ { "target", it.mName.Text() },
                          { "reason", Name(it.mReason) },
                          { "tier", it.mTier },
                          { "relative_load", it.mRelativeLoad },
                          { "warmth", it.mWarmUpFraction },
                          { "outstanding", selector.Outstanding(it.mName) } });
    }
    const auto budget = budgets.find(service);
    const bool isUsed = budget != budgets.end();
    out.push_back({ { "service", service.Text() },
                    { "requests", isUsed ? budget->second.Requests() : 0 },
                    { "retries", isUsed ? budget->second.Retries() : 0 },
                    { "targets", std::move(targets) } });
  }
  return out;
}

nlohmann::json StateDump::Shifts() const
{
  json out = json::array();
  if (!mSources.mFleet.mInventory) {
    return out;
  }
  for (const auto& it : mSources.mFleet.mInventory->mShifts) {
    out.push_back({ { "name", it.mName.Text() },
                    { "service", it.mService.Text() },
                    { "from", it.mFrom.Text() },
                    { "to", it.mTo.Text() },
                    { "state", TextOf(kShiftStateTexts, it.mState) },
                    { "share", it.mShare },
                    { "final_share", it.mFinalShare },
                    { "reason", it.mReason } });
  }
  return out;
}

nlohmann::json StateDump::Withdrawals() const
{
  const auto& withdrawals = mSources.mMembership.Withdrawals();
  json keys = json::array();
  for (const auto& it : withdrawals.All()) {
    keys.push_back(it.mKey.Text());
  }
  return { { "synchronised", withdrawals.IsSynchronised() },
           { "keys", std::move(keys) },
           { "zones", WithdrawalReportJson(mSources.mMembership.Table()) } };
}

nlohmann::json StateDump::StoreCalls() const
{
  const auto& calls = mSources.mStore.Calls();
  return { { "gets", calls.mGets },
           { "lists", calls.mLists },
           { "writes", calls.mWrites },
           { "watches", calls.mWatches },
           { "instance_lists", calls.mInstanceLists },
           { "failures", calls.mFailures } };
}

nlohmann::json StateDump::Peers() const
{
  const auto& peers = mSources.mTransport.Statistics();
  return { { "messages_sent", peers.mSent },
           { "messages_received", peers.mReceived },
           { "bytes_sent", peers.mBytesSent },
           { "bytes_received", peers.mBytesReceived },
           { "dropped_replies", peers.mDroppedReplies },
           { "refused_frames", peers.mRefusedFrames },
           { "replaced_links", peers.mReplacedLinks } };
}

std::string StateDump::Metrics() const
{
  MetricsWriter writer;
  mSources.mFrontend.Observer().Metrics().WriteTo(writer);
  writer.Begin("pollenway_retries_total",
               "counter",
               "Attempts after the first, by service.");
  for (const auto& [service, budget] : mSources.mFrontend.Budgets()) {
    writer.Sample({ { "service", service.Text() } }, budget.Retries());
  }
  const auto& limits = mSources.mLimits.GetCounts();
  writer.Begin("pollenway_admissions_total",
               "counter",
               "Requests that asked for a token of a workspace's rate.");
  writer.Sample({ { "result", "admitted" } }, limits.mAdmitted);
  writer.Sample({ { "result", "refused" } }, limits.mRefused);
  writer.Begin("pollenway_admission_messages_total",
               "counter",
               "Requests and replies between instances for admissions.");
  writer.Sample({}, limits.mMessages);

  const auto& peers = mSources.mTransport.Statistics();
  writer.Begin(
    "pollenway_peer_messages_total", "counter", "Messages between instances.");
  writer.Sample({ { "direction", "sent" } }, peers.mSent);
  writer.Sample({ { "direction", "received" } }, peers.mReceived);
  writer.Begin("pollenway_peer_bytes_total",
               "counter",
               "Bytes of messages between instances.");
  writer.Sample({ { "direction", "sent" } }, peers.mBytesSent);
  writer.Sample({ { "direction", "received" } }, peers.mBytesReceived);
  writer.Begin("pollenway_dropped_replies_total",
               "counter",
               "Replies of peers that came late, twice or from another run.");
  writer.Sample({}, peers.mDroppedReplies);
  writer.Begin("pollenway_refused_frames_total",
               "counter",
               "Frames of peers that could not be decoded.");
  writer.Sample({}, peers.mRefusedFrames);
  writer.Begin("pollenway_replaced_links_total",
               "counter",
               "Links to peers that went silent and were replaced.");
  writer.Sample({}, peers.mReplacedLinks);

  const auto& calls = mSources.mStore.Calls();
  writer.Begin("pollenway_store_calls_total",
               "counter",
               "Calls of the platform's object API by kind.");
  writer.Sample({ { "kind", "get" } }, calls.mGets);
  writer.Sample({ { "kind", "list" } }, calls.mLists);
  writer.Sample({ { "kind", "write" } }, calls.mWrites);
  writer.Sample({ { "kind", "watch" } }, calls.mWatches);
  writer.Sample({ { "kind", "instance_list" } }, calls.mInstanceLists);
  writer.Begin("pollenway_store_failures_total",
               "counter",
               "Store calls without an answer.");
  writer.Sample({}, calls.mFailures);
  return writer.Text();
}

} // namespace pollenway
