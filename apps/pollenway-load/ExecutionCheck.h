#pragma once

#include "HttpClientPool.h"
#include "IpEndpoint.h"
#include "LoadStatistics.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace pollenway {

/// Compares what callers were told with what the backend servers executed.
class ExecutionCheck
{
public:
  ExecutionCheck(const std::vector<IpEndpoint>& aAdmins,
                 const std::string& aRunId);

  /// Asks all admin ports.
  Awaitable<void> Run(asio::any_io_executor aExecutor,
                      const LoadStatistics& aStatistics);

  /// False if a request ran twice, ran although each attempt was refused as
  /// not run, reached a backend server with a tenant key, exceeded a target's
  /// slots, or if an admin port didn't answer.
  bool IsClean() const;
  nlohmann::json ToJson() const;

private:
  void Count(const nlohmann::json& aReport);

  const std::vector<IpEndpoint>& mAdmins;
  /// Keys of this run contain "/RUN-".
  std::string mMark;
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
