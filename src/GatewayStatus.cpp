#include "GatewayStatus.h"

#include "EventLoopLag.h"
#include "GatewayFrontend.h"
#include "HttpHeaders.h"
#include "InstanceTable.h"
#include "MetricsWriter.h"
#include "RemoteZones.h"
#include "RoutingTable.h"
#include "StateFeed.h"
#include "SteadyTime.h"
#include "TargetReachability.h"
#include "TargetTable.h"
#include "WorkspaceQuota.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

using nlohmann::json;

json FeedJson(const StateFeed& aFeed, TimePoint aNow)
{
  json out = { { "listed", aFeed.HasListing() },
               { "lost", aFeed.IsLost() },
               { "era", aFeed.Position().mEra.mValue },
               { "revision", aFeed.Revision() },
               { "newest", aFeed.NewestVersion().mRevision } };
  if (aFeed.AnsweredAt() != TimePoint{}) {
    out["answer_age_s"] = ToSeconds(aNow - aFeed.AnsweredAt());
  }
  return out;
}

/// Returns the number of targets that are closed to this instance.
size_t CountClosed(const TargetTable& aTargets,
                   const TargetAnnouncements& aAnnouncements,
                   ClosedReason aReason,
                   TimePoint aNow)
{
  size_t out = 0;
  for (const auto& service : aTargets.Services()) {
    for (const auto& it : aTargets.OfService(service)) {
      out += aAnnouncements.Find(it->Record(), aNow) == aReason;
    }
  }
  return out;
}

json TargetsJson(const TargetTable& aTargets,
                 const TargetAnnouncements& aAnnouncements,
                 TimePoint aNow)
{
  json out = json::array();
  for (const auto& service : aTargets.Services()) {
    for (const auto& it : aTargets.OfService(service)) {
      json target = { { "target", it->Record().mName.Text() },
                      { "service", service.Text() },
                      { "zone", it->Record().mZone.Text() },
                      { "slots", it->Record().mSlots },
                      { "in_flight", it->InFlight() },
                      { "load", it->EstimatedLoad(aNow) },
                      { "paused", it->IsPaused(aNow) },
                      { "cold", it->IsCold(aNow) },
                      { "shed_share", it->ShedShare(aNow) } };
      const auto closed = aAnnouncements.Find(it->Record(), aNow);
      if (closed) {
        target["closed"] = Name(*closed);
      }
      if (it->RunTime()) {
        target["run_ms"] = ToSeconds(*it->RunTime()) * 1000;
      }
      out.push_back(std::move(target));
    }
  }
  return out;
}

json InstancesJson(const InstanceTable& aInstances, TimePoint aNow)
{
  json out = json::array();
  for (const auto& [name, peer] : aInstances.All()) {
    out.push_back({ { "instance", name.Text() },
                    { "zone", peer.mSummary.mZone.Text() },
                    { "ready", peer.mSummary.mReady },
                    { "reaches_targets", peer.mSummary.mReachesTargets },
                    { "live", aInstances.IsLive(peer, aNow) },
                    { "table", peer.mSummary.mTableVersion },
                    { "age_s", ToSeconds(aNow - peer.mLastReceivedAt) } });
  }
  return out;
}

json ZonesJson(const RemoteZones& aRemoteZones, TimePoint aNow)
{
  json out = json::array();
  for (const auto* it : aRemoteZones.LiveZones(aNow)) {
    out.push_back(
      { { "zone", it->mZone.Text() },
        { "known", it->mKnown },
        { "reachable", it->mReachable },
        { "reaches_targets", it->mReachesTargets },
        { "delegates", it->mDelegates.size() },
        { "age_s",
          ToSeconds(
            aRemoteZones.AgeOf(it->mZone, aNow).value_or(Duration())) } });
  }
  return out;
}

} // namespace

GatewayStatus::GatewayStatus(asio::any_io_executor aExecutor, Sources aSources)
  : mSources(std::move(aSources))
  , mServer(aExecutor, HttpLimits(), [this](HttpConnection& aConnection) {
    return Handle(aConnection);
  })
{
}

Result<void> GatewayStatus::Listen(const std::string& aAddress, uint16_t aPort)
{
  return mServer.Listen(aAddress, aPort);
}

json GatewayStatus::State(TimePoint aNow) const
{
  const auto* table = mSources.mTable();
  json evacuated = json::array();
  for (const auto& it : mSources.mTargets.EvacuatedZones()) {
    evacuated.push_back(it.Text());
  }
  return { { "ready", mSources.mIsReady() },
           { "reaches_targets", mSources.mReachability.ReachesTargets(aNow) },
           { "table", table ? table->Version() : 0 },
           { "feeds",
             { { "configuration", FeedJson(mSources.mConfigurationFeed, aNow) },
               { "targets", FeedJson(mSources.mTargetFeed, aNow) },
               { "evacuations", FeedJson(mSources.mEvacuationFeed, aNow) } } },
           { "evacuated_zones", std::move(evacuated) },
           { "targets",
             TargetsJson(
               mSources.mTargets, mSources.mFrontend.Announcements(), aNow) },
           { "workspaces", mSources.mQuota.State() },
           { "instances", InstancesJson(mSources.mInstances, aNow) },
           { "other_zones", ZonesJson(mSources.mRemoteZones, aNow) } };
}

std::string GatewayStatus::Metrics() const
{
  const TimePoint now = SteadyNow();
  MetricsWriter writer;
  mSources.mFrontend.Requests().Metrics().WriteTo(writer);
  mSources.mLoopLag.WriteTo(writer);
  writer.Begin(
    "pollenway_attempts_total", "counter", "Attempts at targets by result.");
  for (const auto& [result, count] : mSources.mFrontend.Requests().Attempts()) {
    writer.Sample({ { "result", result } }, count);
  }
  mSources.mFrontend.Requests().Selections().WriteTo(writer);
  writer.Begin("pollenway_relayed_attempts_total",
               "counter",
               "Attempts through other instances by result.");
  for (const auto& [result, count] : mSources.mFrontend.Relay().Results()) {
    writer.Sample({ { "result", result } }, count);
  }
  writer.Begin("pollenway_requests_for_peers_total",
               "counter",
               "Requests served for other instances by result code.");
  for (const auto& [code, count] :
       mSources.mFrontend.Requests().ServedForPeers()) {
    writer.Sample({ { "code", code } }, count);
  }
  writer.Begin("pollenway_targets", "gauge", "Targets that may get requests.");
  writer.Sample({}, uint64_t(mSources.mTargets.Size()));
  writer.Begin("pollenway_targets_unreachable",
               "gauge",
               "1 while new connections to targets fail everywhere.");
  writer.Sample({}, uint64_t(mSources.mReachability.IsIsolated(now) ? 1 : 0));
  writer.Begin("pollenway_targets_closed",
               "gauge",
               "Targets that have announced that they take no requests.");
  for (const auto reason : { ClosedReason::Leaving, ClosedReason::Quiet }) {
    writer.Sample(
      { { "reason", std::string(Name(reason)) } },
      uint64_t(CountClosed(
        mSources.mTargets, mSources.mFrontend.Announcements(), reason, now)));
  }
  writer.Begin("pollenway_instances_live", "gauge", "Other live instances.");
  writer.Sample({},
                uint64_t(mSources.mInstances.Live(now).size() +
                         mSources.mRemoteZones.CountReachable(now)));
  writer.Begin("pollenway_connections", "gauge", "Callers' connections.");
  writer.Sample({}, uint64_t(mSources.mFrontend.Server().Connections()));
  writer.Begin("pollenway_connections_replaced_total",
               "counter",
               "Callers' connections that were closed for others.");
  writer.Sample({}, mSources.mFrontend.Server().ReplacedConnections());
  const auto* table = mSources.mTable();
  writer.Begin(
    "pollenway_table_version", "gauge", "Version of the routing table.");
  writer.Sample({}, table ? table->Version() : uint64_t(0));
  const std::pair<const char*, const StateFeed*> feeds[] = {
    { "configuration", &mSources.mConfigurationFeed },
    { "targets", &mSources.mTargetFeed },
    { "evacuations", &mSources.mEvacuationFeed }
  };
  writer.Begin("pollenway_store_lost", "gauge", "1 while the store is away.");
  for (const auto& [kind, feed] : feeds) {
    writer.Sample({ { "feed", kind } }, uint64_t(feed->IsLost() ? 1 : 0));
  }
  writer.Begin("pollenway_feed_era", "gauge", "Era of the feed's position.");
  for (const auto& [kind, feed] : feeds) {
    writer.Sample({ { "feed", kind } }, feed->Position().mEra.mValue);
  }
  writer.Begin("pollenway_feed_answer_age_seconds",
               "gauge",
               "Time since the last listing or answered watch.");
  for (const auto& [kind, feed] : feeds) {
    if (feed->AnsweredAt() != TimePoint{}) {
      writer.Sample({ { "feed", kind } }, ToSeconds(now - feed->AnsweredAt()));
    }
  }
  return writer.Text();
}

Awaitable<void> GatewayStatus::Handle(HttpConnection& aConnection)
{
  const std::string target(aConnection.Header().target());
  if (target == "/metrics") {
    TextResponse answer(http::status::ok, 11);
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = Metrics();
    co_await aConnection.Write(std::move(answer));
  } else if (target == "/state") {
    co_await aConnection.Write(
      MakeJsonAnswer(http::status::ok, State(SteadyNow()).dump(2) + "\n"));
  } else {
    co_await aConnection.Write(
      MakeRefusal(ResultCode::NotFound, "the paths are /metrics and /state"));
  }
}

} // namespace pollenway
