#include "ConfigurationStore.h"

#include "InventoryDiff.h"
#include "InventoryReader.h"
#include "InventoryWriter.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr const char* kKind = "configuration";
constexpr const char* kName = "current";
constexpr const char* kPath = "configuration/current";

} // namespace

CommandResult DescribeChanges(const Inventory& aOld, const Inventory& aNew)
{
  CommandResult result;
  const auto changes = InventoryDiff::Compare(aOld, aNew);
  auto& list = result.mDocument["changes"];
  list = nlohmann::json::array();
  for (const auto& it : changes) {
    std::string line = InventoryDiff::Render({ it });
    line.pop_back();
    list.push_back(std::move(line));
  }
  result.mText =
    changes.empty() ? "no changes\n" : InventoryDiff::Render(changes);
  return result;
}

Awaitable<Result<CurrentConfiguration>> ConfigurationStore::Read()
{
  auto object = co_await mStore.Get(kKind, kName);
  CurrentConfiguration current;
  if (!object) {
    if (object.error().mCode == ResultCode::NotFound) {
      co_return current;
    }
    co_return object.error();
  }
  auto read = InventoryReader::Read(object.value().mValue);
  if (!read) {
    const Error& first = read.error().front();
    co_return Error{ ResultCode::InvalidState,
                     "the configuration in the store is invalid at " +
                       first.mPath + ": " + first.mDetail,
                     kPath };
  }
  current.mVersion = object.value().mVersion;
  current.mInventory = std::move(read.value());
  co_return current;
}

Awaitable<CommandResult> ConfigurationStore::Commit(
  CurrentConfiguration aCurrent,
  Inventory aNext,
  uint64_t aAboveGeneration)
{
  const Inventory& old = aCurrent.mInventory;
  CommandResult result = DescribeChanges(old, aNext);
  result.mDocument["generation"] = old.mGeneration;
  if (aCurrent.mVersion && result.mDocument["changes"].empty() &&
      old.mGeneration > aAboveGeneration) {
    co_return result;
  }
  aNext.mGeneration = std::max(old.mGeneration, aAboveGeneration) + 1;
  std::string text = InventoryWriter::Write(aNext);
  // A configuration that the instances would refuse must not be stored.
  auto checked = InventoryReader::Read(text);
  if (!checked) {
    result.mExit = ExitCode::Invalid;
    result.mErrors = checked.error();
    co_return result;
  }
  const StoreCondition condition =
    aCurrent.mVersion ? StoreCondition::AtVersion(*aCurrent.mVersion)
                      : StoreCondition::Absent();
  StoreWrite write = co_await mStore.PutConfirmed(
    kKind, kName, std::move(text), condition, mWriteRetryTimeout);
  if (!write.IsDone()) {
    Error error = write.mError;
    error.mPath = kPath;
    if (write.mOutcome == WriteOutcome::Unknown) {
      error.mDetail = "it is unknown whether the change was made; check with "
                      "\"pollenwayctl status\": " +
                      error.mDetail;
    }
    co_return CommandResult::Failure(std::move(error), ExitOf(write));
  }
  result.mDocument["generation"] = aNext.mGeneration;
  result.Line("generation " + std::to_string(aNext.mGeneration));
  co_return result;
}

Awaitable<CommandResult> ConfigurationStore::Change(Edit aEdit)
{
  auto current = co_await Read();
  if (!current) {
    co_return CommandResult::Failure(current.error());
  }
  if (!current.value().mVersion) {
    co_return CommandResult::Failure(
      Error{ ResultCode::NotFound, "the store has no configuration", kPath });
  }
  auto next = aEdit(current.value().mInventory);
  if (!next) {
    co_return CommandResult::Failure(next.error(), ExitCode::Invalid);
  }
  auto result =
    co_await Commit(std::move(current.value()), std::move(next.value()), 0);
  co_return result;
}

} // namespace pollenway
