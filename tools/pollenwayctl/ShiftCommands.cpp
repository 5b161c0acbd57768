#include "ShiftCommands.h"

#include "InventoryEdit.h"
#include "InventoryTexts.h"
#include "JsonParse.h"
#include "ShiftStepRecord.h"

namespace pollenway {

namespace {

constexpr const char* kStepKind = "shiftstep";

struct StoredStep
{
  std::optional<uint64_t> mVersion = std::nullopt;
  std::optional<ShiftStepRecord> mRecord = std::nullopt;
};

Awaitable<Result<StoredStep>> ReadStep(ObjectStore& aStore, std::string aName)
{
  StoredStep step;
  auto object = co_await aStore.Get(kStepKind, aName);
  if (!object) {
    if (object.error().mCode == ResultCode::NotFound) {
      co_return step;
    }
    co_return object.error();
  }
  step.mVersion = object.value().mVersion;
  auto record = ShiftStepRecord::Parse(object.value().mValue);
  if (record) {
    step.mRecord = record.value();
  } else {
    // An unreadable record gets a share that no shift has, so that the pace is
    // counted from now.
    step.mRecord.emplace().mShare = -1;
  }
  co_return step;
}

Awaitable<StoreWrite> WriteStep(ObjectStore& aStore,
                                CommandOptions aOptions,
                                std::string aName,
                                ShiftStepRecord aRecord,
                                std::optional<uint64_t> aVersion)
{
  const StoreCondition condition =
    aVersion ? StoreCondition::AtVersion(*aVersion) : StoreCondition::Absent();
  std::string text = aRecord.ToJson();
  auto write = co_await aStore.PutConfirmed(
    kStepKind, aName, std::move(text), condition, aOptions.mWriteRetryTimeout);
  co_return write;
}

CommandResult DescribeShift(const ShiftDeclaration& aShift)
{
  CommandResult result;
  const std::string state(TextOf(kShiftStateTexts, aShift.mState));
  result.mDocument = { { "name", aShift.mName.Text() },
                       { "service", aShift.mService.Text() },
                       { "from", aShift.mFrom.Text() },
                       { "to", aShift.mTo.Text() },
                       { "share", aShift.mShare },
                       { "final_share", aShift.mFinalShare },
                       { "step_cap", aShift.mStepCap },
                       { "rate_cap", aShift.mRateCap },
                       { "pace_s", ToSeconds(aShift.mPace) },
                       { "state", state },
                       { "reason", aShift.mReason } };
  result.Line("shift " + aShift.mName.Text() + ": " + state + ", " +
              aShift.mService.Text() + " " + aShift.mFrom.Text() + " -> " +
              aShift.mTo.Text() + ", share " +
              nlohmann::json(aShift.mShare).dump() + " of " +
              nlohmann::json(aShift.mFinalShare).dump() +
              (aShift.mReason.empty() ? "" : ", reason: " + aShift.mReason));
  return result;
}

Awaitable<CommandResult> Advance(ObjectStore& aStore,
                                 CommandOptions aOptions,
                                 ShiftName aName,
                                 int64_t aNowUnixMs)
{
  ConfigurationStore configuration(aStore, aOptions.mWriteRetryTimeout);
  auto current = co_await configuration.Read();
  if (!current) {
    co_return CommandResult::Failure(current.error());
  }
  auto step = co_await ReadStep(aStore, aName.Text());
  if (!step) {
    co_return CommandResult::Failure(step.error());
  }
  const InventoryEdit::Step size{ .mShare = aOptions.mStep,
                                  .mDemand = aOptions.mDemand };
  auto next =
    InventoryEdit::AdvanceShift(current.value().mInventory, aName, size);
  if (!next) {
    co_return CommandResult::Failure(next.error(), ExitCode::Invalid);
  }
  const ShiftDeclaration& old = *FindShift(current.value().mInventory, aName);
  const PaceCheck pace = CheckPace(old, step.value().mRecord, aNowUnixMs);
  ShiftStepRecord record;
  record.mUnixMs = aNowUnixMs;
  record.mShare =
    pace.mWaitMs > 0 ? old.mShare : FindShift(next.value(), aName)->mShare;
  if (pace.mWaitMs == 0 || pace.mIsLastStepUnknown) {
    auto write = co_await WriteStep(
      aStore, aOptions, aName.Text(), record, step.value().mVersion);
    if (!write.IsDone()) {
      co_return CommandResult::Failure(write.mError, ExitOf(write));
    }
  }
  if (pace.mWaitMs > 0) {
    co_return CommandResult::Failure(
      Error{ ResultCode::InvalidState,
             std::string("the pace permits the next step in ") +
               std::to_string(pace.mWaitMs) + " ms" +
               (pace.mIsLastStepUnknown
                  ? "; the time of the last step is unknown"
                  : ""),
             {} },
      ExitCode::Invalid);
  }
  auto result = co_await configuration.Commit(
    std::move(current.value()), std::move(next.value()), 0);
  co_return result;
}

Awaitable<CommandResult> Status(ObjectStore& aStore,
                                CommandOptions aOptions,
                                ShiftName aName)
{
  ConfigurationStore configuration(aStore, aOptions.mWriteRetryTimeout);
  auto current = co_await configuration.Read();
  if (!current) {
    co_return CommandResult::Failure(current.error());
  }
  const auto* shift = FindShift(current.value().mInventory, aName);
  if (!shift) {
    co_return CommandResult::Failure(Error{
      ResultCode::NotFound, "there is no shift " + Quoted(aName.Text()), {} });
  }
  co_return DescribeShift(*shift);
}

ConfigurationStore::Edit EditOf(const std::string& aCommand,
                                const ShiftName& aName,
                                const CommandOptions& aOptions)
{
  if (aCommand == "pause") {
    return [=](const Inventory& aInventory) {
      return InventoryEdit::PauseShift(aInventory, aName);
    };
  }
  if (aCommand == "resume") {
    return [=](const Inventory& aInventory) {
      return InventoryEdit::ResumeShift(aInventory, aName);
    };
  }
  if (aCommand == "rollback") {
    return [=](const Inventory& aInventory) {
      return InventoryEdit::RollBackShift(aInventory, aName);
    };
  }
  if (aCommand != "start") {
    return nullptr;
  }
  ShiftDeclaration shift;
  shift.mName = aName;
  shift.mService = ServiceName(aOptions.mService);
  shift.mFrom = RegionName(aOptions.mFrom);
  shift.mTo = RegionName(aOptions.mTo);
  shift.mStepCap = aOptions.mStepCap;
  shift.mRateCap = aOptions.mRateCap.value_or(0);
  shift.mFinalShare = aOptions.mFinalShare;
  shift.mPace = FromSeconds(aOptions.mPaceSeconds);
  return [=](const Inventory& aInventory) {
    return InventoryEdit::StartShift(aInventory, shift);
  };
}

} // namespace

Awaitable<CommandResult> RunShiftCommand(ObjectStore& aStore,
                                         CommandOptions aOptions,
                                         Arguments aArguments,
                                         int64_t aNowUnixMs)
{
  const std::string command = aArguments[0];
  const ShiftName name(aArguments[1]);
  if (command == "status") {
    auto status = co_await Status(aStore, aOptions, name);
    co_return status;
  }
  if (command == "advance") {
    auto advanced = co_await Advance(aStore, aOptions, name, aNowUnixMs);
    co_return advanced;
  }
  if (command == "start" && !aOptions.mRateCap) {
    co_return CommandResult::Usage("shift start requires --rate_cap");
  }
  // Checked here because a larger number would overflow `Duration`.
  if (!(aOptions.mPaceSeconds >= 0 && aOptions.mPaceSeconds <= 86400)) {
    co_return CommandResult::Usage("--pace_s must be 0 to 86400");
  }
  ConfigurationStore::Edit edit = EditOf(command, name, aOptions);
  if (!edit) {
    co_return CommandResult::Usage(
      "expected shift start|pause|resume|advance|rollback|status NAME");
  }
  ConfigurationStore configuration(aStore, aOptions.mWriteRetryTimeout);
  auto result = co_await configuration.Change(std::move(edit));
  co_return result;
}

} // namespace pollenway
