#pragma once

#include "HttpClientPool.h"
#include "IpEndpoint.h"
#include "LoadStatistics.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace pollenway {

/// Compares the answers that callers received with what the backend servers
/// executed.
class ExecutionCheck
{
public:
  ExecutionCheck(const std::vector<IpEndpoint>& aAdmins,
                 const std::string& aRunId);

  /// Fetches the execution report of every admin port and evaluates them.
  Awaitable<void> Run(asio::any_io_executor aExecutor,
                      const LoadStatistics& aStatistics);

  /// Returns false if a request ran more than once, ran although every attempt
  /// was refused as not run, or reached a backend server with a tenant key, if
  /// a target ran more requests than it has slots, or if an admin port didn't
  /// answer.
  bool IsClean() const;
  nlohmann::json ToJson() const;

private:
  void Count(const nlohmann::json& aReport);

  const std::vector<IpEndpoint>& mAdmins;
  /// "/RUN-" with the id of this run, which every key of the run contains.
  std::string mRunMarker;
  std::map<std::string, uint64_t> mExecutions;
  uint64_t mUnreachable = 0;
  uint64_t mDuplicates = 0;
  uint64_t mFalseNotRun = 0;
  uint64_t mAnsweredNotExecuted = 0;
  uint64_t mWithAuthorization = 0;
  uint64_t mSlotsExceeded = 0;
  std::vector<std::string> mExamples;
};

} // namespace pollenway
