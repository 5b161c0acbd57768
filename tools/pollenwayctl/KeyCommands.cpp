#include "KeyCommands.h"

#include "FleetView.h"
#include "InventoryEdit.h"
#include "Sha256.h"

#include <openssl/rand.h>

#include <stdexcept>

namespace pollenway {

namespace {

constexpr size_t kKeyBytes = 32;
/// Digits of the digest in a generated id: enough to make the id unique, too
/// few to recover the key.
constexpr size_t kIdDigits = 12;

/// Endpoints that a withdrawal is sent to, and the zones that must confirm it.
struct WithdrawalRecipients
{
  std::vector<IpEndpoint> mEndpoints;
  /// The zone of each endpoint; empty if unknown.
  std::vector<ZoneName> mZones;
  /// By zone, true if it has confirmed the withdrawal.
  std::map<ZoneName, bool> mConfirmed;
  std::vector<Error> mErrors;
};

Awaitable<Result<WithdrawalRecipients>> FindRecipients(ObjectStore& aStore,
                                                       CommandOptions aOptions)
{
  WithdrawalRecipients recipients;
  auto endpoints = ParseEndpointList(aOptions.mInstances);
  if (!endpoints) {
    co_return endpoints.error();
  }
  recipients.mEndpoints = std::move(endpoints.value());
  auto fleet = co_await ReadFleetView(aStore);
  if (!fleet) {
    if (recipients.mEndpoints.empty()) {
      co_return fleet.error();
    }
    recipients.mZones.resize(recipients.mEndpoints.size());
    co_return recipients;
  }
  recipients.mErrors = fleet.value().mErrors;
  const bool useViews = recipients.mEndpoints.empty();
  for (const auto& zone : fleet.value().mZones) {
    if (!zone.mMembers.empty()) {
      recipients.mConfirmed[zone.mZone] = false;
    }
    for (const auto& it : zone.mMembers) {
      if (useViews) {
        recipients.mEndpoints.push_back(
          IpEndpoint{ .mAddress = it.mAddress, .mPort = aOptions.mAdminPort });
      }
    }
  }
  for (const auto& it : fleet.value().mUnreadableZones) {
    recipients.mConfirmed[it] = false;
  }
  for (const auto& it : recipients.mEndpoints) {
    recipients.mZones.push_back(fleet.value().ZoneOf(it.mAddress));
  }
  co_return recipients;
}

/// Returns the zone in an instance's answer; empty if there is none.
ZoneName ZoneOfAnswer(const std::string& aBody)
{
  const auto document = nlohmann::json::parse(aBody, nullptr, false);
  if (!document.is_object() || !document.contains("zone") ||
      !document["zone"].is_string()) {
    return {};
  }
  return ZoneName(document["zone"].get<std::string>());
}

void AddInstanceAnswer(CommandResult& aResult,
                       WithdrawalRecipients& aRecipients,
                       size_t aIndex,
                       const Result<std::string>& aAnswer)
{
  ZoneName zone = aRecipients.mZones[aIndex];
  if (aAnswer) {
    if (zone.IsEmpty()) {
      zone = ZoneOfAnswer(aAnswer.value());
    }
    if (!zone.IsEmpty()) {
      aRecipients.mConfirmed[zone] = true;
    }
  } else {
    aResult.mErrors.push_back(aAnswer.error());
  }
  const std::string endpoint = TextOf(aRecipients.mEndpoints[aIndex]);
  const std::string zoneText =
    zone.IsEmpty() ? "of an unknown zone" : "of zone " + zone.Text();
  aResult.mDocument["instances"].push_back({ { "instance", endpoint },
                                             { "zone", zone.Text() },
                                             { "confirmed", bool(aAnswer) } });
  aResult.Line("instance " + endpoint + " " + zoneText + ": " +
               (aAnswer ? "confirmed" : "not confirmed"));
}

} // namespace

std::string GenerateKey()
{
  unsigned char bytes[kKeyBytes];
  if (RAND_bytes(bytes, sizeof bytes) != 1) {
    throw std::runtime_error("RAND_bytes failed to generate a key");
  }
  std::string key = "pwk_";
  for (const unsigned char it : bytes) {
    key += "0123456789abcdef"[it >> 4];
    key += "0123456789abcdef"[it & 15];
  }
  return key;
}

Awaitable<CommandResult> IssueKey(ObjectStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aWorkspace,
                                  std::string aKey)
{
  TenantKey record;
  record.mDigest = Sha256Hex(aKey);
  record.mId =
    KeyId(aOptions.mId.empty() ? "key-" + record.mDigest.substr(0, kIdDigits)
                               : aOptions.mId);
  record.mWorkspace = WorkspaceName(aWorkspace);
  ConfigurationStore configuration(aStore, aOptions.mWriteRetryTimeout);
  ConfigurationStore::Edit edit = [=](const Inventory& aInventory) {
    return InventoryEdit::IssueKey(aInventory, record);
  };
  auto result = co_await configuration.Change(std::move(edit));
  result.mDocument["id"] = record.mId.Text();
  if (result.IsOk()) {
    result.mDocument["key"] = aKey;
    result.Line("id  " + record.mId.Text());
    result.Line("key " + aKey);
  } else if (result.mExit == ExitCode::StoreUnavailable) {
    result.Line("withdraw " + record.mId.Text() +
                " if it appears in the configuration; its key was not shown");
  }
  co_return result;
}

Awaitable<CommandResult> WithdrawKey(ObjectStore& aStore,
                                     AdminClient& aAdmin,
                                     CommandOptions aOptions,
                                     std::string aId)
{
  CommandResult result;
  result.mDocument["id"] = aId;
  auto found = co_await FindRecipients(aStore, aOptions);
  if (!found) {
    co_return CommandResult::Failure(found.error());
  }
  WithdrawalRecipients& recipients = found.value();
  result.mErrors = recipients.mErrors;
  result.mDocument["instances"] = nlohmann::json::array();
  const std::string body = nlohmann::json{ { "key", aId } }.dump();
  auto answers =
    co_await aAdmin.PostToAll(recipients.mEndpoints, "/withdrawals", body);
  bool allAnswered = true;
  for (size_t n = 0; n < answers.size(); ++n) {
    AddInstanceAnswer(result, recipients, n, answers[n]);
    allAnswered = allAnswered && answers[n];
  }
  if (answers.empty()) {
    result.Line("no entry instance is known: the withdrawal is only written to "
                "the configuration");
  }
  bool allZones = true;
  for (const auto& [zone, isConfirmed] : recipients.mConfirmed) {
    result.mDocument["zones"][zone.Text()] = isConfirmed;
    result.Line("zone " + zone.Text() + ": " +
                (isConfirmed ? "confirmed" : "not confirmed"));
    allZones = allZones && isConfirmed;
  }
  ConfigurationStore configuration(aStore, aOptions.mWriteRetryTimeout);
  const KeyId id(aId);
  ConfigurationStore::Edit edit = [=](const Inventory& aInventory) {
    return InventoryEdit::WithdrawKey(aInventory, id);
  };
  auto changed = co_await configuration.Change(std::move(edit));
  result.mDocument["configuration"] = changed.mDocument;
  result.mText += changed.mText;
  for (auto& it : changed.mErrors) {
    result.mErrors.push_back(std::move(it));
  }
  result.mExit = changed.mExit;
  const bool isConfirmed =
    recipients.mConfirmed.empty() ? allAnswered : allZones;
  if (changed.IsOk() && !isConfirmed) {
    result.mExit = ExitCode::Failed;
  }
  if (!changed.IsOk()) {
    result.Line("the configuration was not changed, or its state is unknown: "
                "repeat the command until it succeeds");
  }
  co_return result;
}

} // namespace pollenway
