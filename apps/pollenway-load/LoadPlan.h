#pragma once

#include "IpEndpoint.h"
#include "Operation.h"
#include "Result.h"
#include "Time.h"
#include "WorkspacePlan.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pollenway {

/// The requests of one run and how they are sent.
struct LoadPlan
{
  std::vector<Operation> mOperations;
  std::vector<WorkspacePlan> mWorkspaces;
  /// Entry instances that look-ups are sent to.
  std::vector<IpEndpoint> mBootstrap;
  /// Targets that requests are sent to directly, without look-ups and tenant
  /// keys.
  std::vector<IpEndpoint> mDirect;
  /// The direct addresses are entry instances, which get the tenant key instead
  /// of the workspace's name.
  bool mDirectWithKey = false;
  /// Time in which requests arrive.
  Duration mArrivalTime = std::chrono::seconds(10);
  Duration mTimeout = std::chrono::seconds(15);
  /// Sent as Pollenway-Deadline-Ms unless zero.
  Duration mDeadline{};
  unsigned mRetries = 3;
  bool mRetryRateExceeded = false;
  unsigned mCallersPerWorkspace = 6;
  uint64_t mMaxRequests = 1'000'000;
  size_t mMaxInFlight = 5000;
  uint64_t mSeed = 1;
  /// Prefix of all Idempotency-Keys, unique to the run.
  std::string mRunId;

  /// Reads "workspaces" and "operations" from the JSON text of a plan.
  Result<void> ReadPlan(const std::string& aText);

  /// Derives workspaces and operations from an inventory. Each workspace sends
  /// `aLoadFactor` times its rate with the tenant key "demo-key-NAME". The
  /// first route with access "keyed" of each service becomes an operation.
  Result<void> ReadInventory(const std::string& aText,
                             double aLoadFactor,
                             unsigned aCallersPerBlock,
                             uint64_t aUploadBytes);
};

/// Parses "ADDRESS:PORT,ADDRESS:PORT,...".
Result<std::vector<IpEndpoint>> ParseEndpoints(const std::string& aText);

} // namespace pollenway
