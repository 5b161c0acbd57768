#include "InventoryCommands.h"

#include "InventoryEdit.h"
#include "InventoryMerge.h"
#include "InventoryReader.h"
#include "SettingsFile.h"

namespace pollenway {

namespace {

CommandResult InvalidFile(std::vector<Error> aErrors)
{
  CommandResult result;
  result.mExit = ExitCode::Invalid;
  result.mErrors = std::move(aErrors);
  return result;
}

/// Returns the file merged with the configuration in the store.
Validated<Inventory> MergeFile(const CurrentConfiguration& aCurrent,
                               const CommandOptions& aOptions,
                               Inventory aFile)
{
  if (!aCurrent.mVersion) {
    return aFile;
  }
  return InventoryMerge::Merge(aCurrent.mInventory,
                               std::move(aFile),
                               aOptions.mPrune
                                 ? InventoryMerge::Unlisted::Prune
                                 : InventoryMerge::Unlisted::Keep);
}

} // namespace

Validated<Inventory> ReadInventoryFile(const std::string& aPath)
{
  auto text = ReadSettingsFile(aPath);
  if (!text) {
    return std::vector<Error>{ text.error() };
  }
  auto read = InventoryReader::Read(text.value());
  if (read) {
    return std::move(read.value());
  }
  std::vector<Error> errors = std::move(read.error());
  for (auto& it : errors) {
    it.mPath = aPath + ": " + it.mPath;
  }
  return errors;
}

CommandResult ValidateFiles(const Arguments& aPaths)
{
  CommandResult result;
  result.mDocument["files"] = nlohmann::json::array();
  for (const auto& path : aPaths) {
    auto read = ReadInventoryFile(path);
    if (read) {
      result.Line(path + ": ok");
    } else {
      result.mExit = ExitCode::Invalid;
      result.mErrors.insert(
        result.mErrors.end(), read.error().begin(), read.error().end());
    }
    result.mDocument["files"].push_back(
      { { "file", path }, { "valid", bool(read) } });
  }
  return result;
}

Awaitable<CommandResult> DiffFile(ConfigurationStore& aStore,
                                  CommandOptions aOptions,
                                  std::string aPath)
{
  auto file = ReadInventoryFile(aPath);
  if (!file) {
    co_return InvalidFile(file.error());
  }
  auto current = co_await aStore.Read();
  if (!current) {
    co_return CommandResult::Failure(current.error());
  }
  auto merged = MergeFile(current.value(), aOptions, std::move(file.value()));
  if (!merged) {
    co_return InvalidFile(merged.error());
  }
  CommandResult result =
    DescribeChanges(current.value().mInventory, merged.value());
  result.mDocument["generation"] = current.value().mInventory.mGeneration;
  co_return result;
}

Awaitable<CommandResult> ApplyFile(ConfigurationStore& aStore,
                                   CommandOptions aOptions,
                                   std::string aPath)
{
  auto file = ReadInventoryFile(aPath);
  if (!file) {
    co_return InvalidFile(file.error());
  }
  auto current = co_await aStore.Read();
  if (!current) {
    co_return CommandResult::Failure(current.error());
  }
  auto merged = MergeFile(current.value(), aOptions, std::move(file.value()));
  if (!merged) {
    co_return InvalidFile(merged.error());
  }
  auto result = co_await aStore.Commit(std::move(current.value()),
                                       std::move(merged.value()),
                                       aOptions.mAboveGeneration);
  co_return result;
}

Awaitable<CommandResult> SetState(ConfigurationStore& aStore,
                                  Lifecycle aState,
                                  Arguments aArguments)
{
  const std::string name = aArguments[1];
  ConfigurationStore::Edit edit;
  if (aArguments[0] == "target") {
    edit = [=](const Inventory& aInventory) {
      return InventoryEdit::SetTargetState(
        aInventory, TargetName(name), aState);
    };
  } else if (aArguments[0] == "place") {
    edit = [=](const Inventory& aInventory) {
      return InventoryEdit::SetPlaceState(aInventory, PlaceName(name), aState);
    };
  } else {
    co_return CommandResult::Usage(
      "the first argument must be target or place");
  }
  auto result = co_await aStore.Change(std::move(edit));
  co_return result;
}

Awaitable<CommandResult> RetirePlace(ConfigurationStore& aStore,
                                     CommandOptions aOptions,
                                     Arguments aArguments)
{
  if (aArguments[0] != "place" || aOptions.mSuccessor.empty()) {
    co_return CommandResult::Usage(
      "expected retire place NAME --successor PLACE");
  }
  const PlaceName name(aArguments[1]);
  const PlaceName successor(aOptions.mSuccessor);
  ConfigurationStore::Edit edit = [=](const Inventory& aInventory) {
    return InventoryEdit::RetirePlace(aInventory, name, successor);
  };
  auto result = co_await aStore.Change(std::move(edit));
  co_return result;
}

} // namespace pollenway
