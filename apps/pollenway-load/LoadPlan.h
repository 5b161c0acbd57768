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

/// Everything that one run sends and how.
struct LoadPlan
{
  std::vector<Operation> mOperations;
  std::vector<WorkspacePlan> mWorkspaces;
  /// Entry instances that are asked first.
  std::vector<IpEndpoint> mBootstrap;
  /// Targets that requests are sent to without look-ups and keys.
  std::vector<IpEndpoint> mDirect;
  /// The direct addresses are entry instances: send the key instead of the
  /// workspace's name.
  bool mDirectWithKey = false;
  Duration mLength = std::chrono::seconds(10);
  Duration mTimeout = std::chrono::seconds(15);
  /// Sent as Pollenway-Deadline-Ms unless zero.
  Duration mDeadline{};
  unsigned mRetries = 3;
  bool mRetryRateExceeded = false;
  unsigned mCallersPerWorkspace = 6;
  uint64_t mMaxRequests = 1'000'000;
  size_t mMaxInFlight = 5000;
  uint64_t mSeed = 1;
  /// Start of all Idempotency-Keys; unique to the run.
  std::string mRunId;

  /// Reads the "workspaces" and "operations" of a plan.
  Result<void> ReadPlan(const std::string& aText);

  /// Derives workspaces and operations from an inventory: each workspace
  /// sends `aLoadFactor` of its rate, with the key "demo-key-NAME"; each
  /// service's first keyed route becomes an operation.
  Result<void> ReadInventory(const std::string& aText,
                             double aLoadFactor,
                             unsigned aCallersPerBlock,
                             uint64_t aUploadBytes);
};

/// Reads "ADDRESS:PORT,ADDRESS:PORT".
Result<std::vector<IpEndpoint>> ParseEndpoints(const std::string& aText);

} // namespace pollenway
