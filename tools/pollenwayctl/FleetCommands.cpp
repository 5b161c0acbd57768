#include "FleetCommands.h"

#include "FleetView.h"
#include "HomeMap.h"
#include "InventoryTexts.h"
#include "JsonParse.h"
#include "PercentEncoding.h"

#include <algorithm>
#include <set>

namespace pollenway {

namespace {

constexpr const char* kHomeKind = "homemap";
constexpr const char* kHomeName = "current";

/// Adds a zone's view to the table and JSON output.
void DescribeView(CommandResult& aResult,
                  const ZoneView& aView,
                  const FleetView& aFleet)
{
  nlohmann::json members = nlohmann::json::array();
  aResult.Line("zone " + aView.mZone.Text() + ": view " +
               std::to_string(aView.mNumber) + ", " +
               std::to_string(aView.mMembers.size()) + " members");
  for (const auto& it : aView.mMembers) {
    const std::string state = aFleet.StateOf(it.mName);
    members.push_back({ { "instance", it.mName.Text() },
                        { "incarnation", it.mIncarnation },
                        { "address", it.mAddress },
                        { "entry_port", it.mEntryPort },
                        { "platform_state", state } });
    aResult.Line("  " + it.mName.Text() + " " + it.mAddress + ":" +
                 std::to_string(it.mEntryPort) + " incarnation " +
                 std::to_string(it.mIncarnation) + ", platform: " + state);
  }
  aResult.mDocument["zones"].push_back({ { "zone", aView.mZone.Text() },
                                         { "view", aView.mNumber },
                                         { "members", members } });
}

void DescribeConfiguration(CommandResult& aResult, const Inventory& aInventory)
{
  aResult.mDocument["generation"] = aInventory.mGeneration;
  aResult.mDocument["shifts"] = nlohmann::json::array();
  aResult.mDocument["withdrawn_keys"] = nlohmann::json::array();
  aResult.Line("generation " + std::to_string(aInventory.mGeneration));
  for (const auto& it : aInventory.mShifts) {
    const std::string state(TextOf(kShiftStateTexts, it.mState));
    aResult.mDocument["shifts"].push_back({ { "name", it.mName.Text() },
                                            { "state", state },
                                            { "share", it.mShare },
                                            { "reason", it.mReason } });
    aResult.Line("shift " + it.mName.Text() + ": " + state + ", share " +
                 nlohmann::json(it.mShare).dump());
  }
  for (const auto& it : aInventory.mKeys) {
    if (it.mWithdrawn) {
      aResult.mDocument["withdrawn_keys"].push_back(it.mId.Text());
      aResult.Line("withdrawn key " + it.mId.Text());
    }
  }
}

CommandResult FormatAnswer(const Result<std::string>& aAnswer)
{
  if (!aAnswer) {
    return CommandResult::Failure(aAnswer.error(), ExitCode::Failed);
  }
  auto document = nlohmann::json::parse(aAnswer.value(), nullptr, false);
  if (document.is_discarded()) {
    return CommandResult::Failure(Error{
      ResultCode::MalformedMessage, "the instance's answer is not JSON", {} });
  }
  CommandResult result;
  result.mText = document.dump(2) + "\n";
  result.mDocument = std::move(document);
  return result;
}

CommandResult NotAllowed(std::string aDetail)
{
  return CommandResult::Failure(
    Error{ ResultCode::InvalidState, std::move(aDetail), {} });
}

unsigned CountPartitions(const HomeMap& aMap, const ZoneName& aZone)
{
  return unsigned(std::count_if(
    aMap.mPartitions.begin(),
    aMap.mPartitions.end(),
    [&](const auto& aPartition) { return aPartition.mZone == aZone; }));
}

/// Adds the result of a write to the command's output: `aDone` on success, the
/// error and exit code otherwise.
CommandResult AddWriteResult(CommandResult aResult,
                             const StoreWrite& aWrite,
                             const std::string& aDone)
{
  if (aWrite.IsDone()) {
    aResult.Line(aDone);
    return aResult;
  }
  aResult.mExit = ExitOf(aWrite);
  aResult.mErrors.push_back(aWrite.mError);
  return aResult;
}

/// Returns the names of the zone's instances that the platform does not list as
/// terminated. The zone's instances are the members of its view and those
/// registered in the store. Returns a reason instead if the view can't be read
/// or no instance is known.
Awaitable<Result<std::string>> RunningInstances(ObjectStore& aStore,
                                                FleetView aFleet,
                                                ZoneName aZone)
{
  std::set<std::string> names;
  const auto& unreadable = aFleet.mUnreadableZones;
  if (std::find(unreadable.begin(), unreadable.end(), aZone) !=
      unreadable.end()) {
    co_return "the zone's view can't be read";
  }
  if (const auto* view = aFleet.Find(aZone)) {
    for (const auto& it : view->mMembers) {
      names.insert(it.mName.Text());
    }
  }
  auto registered = co_await aStore.List("instance", ReadFreshness::Current);
  if (!registered) {
    co_return registered.error();
  }
  for (const auto& it : registered.value().mObjects) {
    const auto value = nlohmann::json::parse(it.mValue, nullptr, false);
    if (value.is_object() && value.contains("zone") &&
        value["zone"] == aZone.Text()) {
      names.insert(it.mName);
    }
  }
  std::string running;
  for (const auto& name : names) {
    if (aFleet.StateOf(InstanceName(name)) != "terminated") {
      running += (running.empty() ? "" : ", ") + name;
    }
  }
  if (names.empty()) {
    running = "no instance of the zone is known";
  }
  co_return running;
}

} // namespace

Awaitable<CommandResult> ShowStatus(ObjectStore& aStore,
                                    CommandOptions aOptions)
{
  ConfigurationStore configuration(aStore, aOptions.mWriteRetryTimeout);
  auto current = co_await configuration.Read();
  if (!current) {
    co_return CommandResult::Failure(current.error());
  }
  auto fleet = co_await ReadFleetView(aStore);
  if (!fleet) {
    co_return CommandResult::Failure(fleet.error());
  }
  CommandResult result;
  DescribeConfiguration(result, current.value().mInventory);
  result.mDocument["zones"] = nlohmann::json::array();
  for (const auto& it : fleet.value().mZones) {
    DescribeView(result, it, fleet.value());
  }
  result.mDocument["platform_instances"] = fleet.value().mPlatformStates;
  for (const auto& [name, state] : fleet.value().mPlatformStates) {
    result.Line("platform instance " + name + ": " + state);
  }
  result.mErrors = fleet.value().mErrors;
  if (!result.mErrors.empty()) {
    result.mExit = ExitCode::Failed;
  }
  co_return result;
}

Awaitable<CommandResult> DumpInstance(AdminClient& aAdmin,
                                      std::string aInstance)
{
  auto endpoint = ParseEndpoint(aInstance);
  if (!endpoint) {
    co_return CommandResult::Failure(endpoint.error());
  }
  auto answer = co_await aAdmin.Get(endpoint.value(), "/state");
  co_return FormatAnswer(answer);
}

Awaitable<CommandResult> ExplainRequest(AdminClient& aAdmin,
                                        std::string aInstance,
                                        std::string aRequest)
{
  auto endpoint = ParseEndpoint(aInstance);
  if (!endpoint) {
    co_return CommandResult::Failure(endpoint.error());
  }
  std::string path = "/explain?request=" + PercentEncode(aRequest);
  auto answer = co_await aAdmin.Get(endpoint.value(), std::move(path));
  co_return FormatAnswer(answer);
}

Awaitable<CommandResult> ReleaseInstance(ObjectStore& aStore,
                                         CommandOptions aOptions,
                                         std::string aName)
{
  auto fleet = co_await ReadFleetView(aStore);
  if (!fleet) {
    co_return CommandResult::Failure(fleet.error());
  }
  const InstanceName name(aName);
  const ZoneMember* member = nullptr;
  CommandResult result;
  for (const auto& it : fleet.value().mZones) {
    if (const auto* found = it.Find(name)) {
      member = found;
      DescribeView(result, it, fleet.value());
    }
  }
  if (!member) {
    co_return CommandResult::Failure(
      Error{ ResultCode::NotFound,
             "no zone view has an instance " + Quoted(aName),
             {} });
  }
  if (!aOptions.mYes) {
    result.mExit = ExitCode::Usage;
    result.mErrors.push_back(
      { ResultCode::InvalidState,
        "releasing an incarnation that is still running breaks limits and "
        "at-most-once execution; repeat with --yes if its process has ended",
        {} });
    co_return result;
  }
  auto old = co_await aStore.Get("release", aName);
  if (!old && old.error().mCode != ResultCode::NotFound) {
    co_return CommandResult::Failure(old.error());
  }
  const std::string text =
    nlohmann::json{ { "incarnation", member->mIncarnation } }.dump();
  if (old && old.value().mValue == text) {
    result.Line("no changes");
    co_return result;
  }
  const StoreCondition condition =
    old ? StoreCondition::AtVersion(old.value().mVersion)
        : StoreCondition::Absent();
  auto write = co_await aStore.PutConfirmed(
    "release", aName, text, condition, aOptions.mWriteRetryTimeout);
  co_return AddWriteResult(std::move(result),
                           write,
                           "released " + aName + " incarnation " +
                             std::to_string(member->mIncarnation));
}

Awaitable<CommandResult> MoveHome(ObjectStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aFrom,
                                  std::string aTo)
{
  // Read before the checks, so that a concurrent move results in a conflict.
  auto map = co_await aStore.Get(kHomeKind, kHomeName);
  if (!map) {
    co_return CommandResult::Failure(map.error());
  }
  auto fleet = co_await ReadFleetView(aStore);
  if (!fleet) {
    co_return CommandResult::Failure(fleet.error());
  }
  if (aFrom == aTo) {
    co_return NotAllowed("the zones must differ");
  }
  const ZoneName to(aTo);
  const ZoneView* toView = fleet.value().Find(to);
  if (!toView || toView->mMembers.empty()) {
    co_return NotAllowed("zone " + Quoted(aTo) + " has no members");
  }
  if (!aOptions.mZoneIsTerminated) {
    auto running =
      co_await RunningInstances(aStore, fleet.value(), ZoneName(aFrom));
    if (!running) {
      co_return CommandResult::Failure(running.error());
    }
    if (!running.value().empty()) {
      co_return NotAllowed(
        "the platform does not list every instance of zone " + Quoted(aFrom) +
        " as terminated (" + running.value() +
        "); instances that are still running would execute requests with the "
        "same keys; --zone_is_terminated overrides this check");
    }
  }
  auto old = HomeMapFromJson(map.value().mValue);
  if (!old) {
    co_return CommandResult::Failure(old.error());
  }
  const unsigned moved = CountPartitions(old.value(), ZoneName(aFrom));
  CommandResult result;
  result.mDocument["moved"] = moved;
  if (moved == 0) {
    result.Line("no changes");
    co_return result;
  }
  std::vector<HomeZone> destinations;
  destinations.push_back(HomeZone{ to, toView->mNumber });
  const HomeMap next = MoveHomes(old.value(), ZoneName(aFrom), destinations);
  const std::string text = HomeMapToJson(next);
  const auto condition = StoreCondition::AtVersion(map.value().mVersion);
  auto write = co_await aStore.PutConfirmed(
    kHomeKind, kHomeName, text, condition, aOptions.mWriteRetryTimeout);
  co_return AddWriteResult(std::move(result),
                           write,
                           "moved " + std::to_string(moved) +
                             " partitions from " + aFrom + " to " + aTo);
}

Awaitable<CommandResult> DescribeZoneRemoval(ObjectStore& aStore,
                                             CommandOptions aOptions,
                                             std::string aZone)
{
  ConfigurationStore configuration(aStore, aOptions.mWriteRetryTimeout);
  auto current = co_await configuration.Read();
  if (!current) {
    co_return CommandResult::Failure(current.error());
  }
  auto fleet = co_await ReadFleetView(aStore);
  if (!fleet) {
    co_return CommandResult::Failure(fleet.error());
  }
  auto map = co_await aStore.Get(kHomeKind, kHomeName);
  if (!map && map.error().mCode != ResultCode::NotFound) {
    co_return CommandResult::Failure(map.error());
  }
  const ZoneName zone(aZone);
  const Inventory& inventory = current.value().mInventory;
  const bool isDeclared = inventory.RegionOfZone(zone) != nullptr;
  size_t places = 0;
  for (const auto& it : inventory.mPlaces) {
    places += it.mZone == zone && it.mState != Lifecycle::Retired;
  }
  const ZoneView* view = fleet.value().Find(zone);
  const size_t members = view ? view->mMembers.size() : 0;
  unsigned homes = 0;
  if (map) {
    auto parsed = HomeMapFromJson(map.value().mValue);
    if (!parsed) {
      co_return CommandResult::Failure(parsed.error());
    }
    homes = CountPartitions(parsed.value(), zone);
  }
  CommandResult result;
  result.mDocument = { { "zone", aZone },
                       { "declared", isDeclared },
                       { "places_in_service", places },
                       { "members", members },
                       { "home_partitions", homes } };
  result.Line("1. retire its places (" + std::to_string(places) +
              " in service): pollenwayctl retire place NAME --successor PLACE");
  result.Line("2. stop its entry instances (" + std::to_string(members) +
              " members in its view) with SIGTERM; for a lost zone make sure "
              "that none is running");
  result.Line("3. move its home partitions (" + std::to_string(homes) +
              "): pollenwayctl home move " + aZone + " TO_ZONE");
  result.Line(std::string("4. remove the zone and its places from the "
                          "inventory file (zone is ") +
              (isDeclared ? "declared" : "not declared") +
              ") and apply it; its shares of the limits then go to other "
              "zones");
  co_return result;
}

} // namespace pollenway
