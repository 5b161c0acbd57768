#include "ExecutionLog.h"

#include <nlohmann/json.hpp>

namespace pollenway {

void ExecutionLog::RecordArrival(const std::string& aWorkspace,
                                 const std::string& aKey)
{
  ++mCounts[aWorkspace + '/' + aKey].mArrivals;
}

void ExecutionLog::RecordExecution(const std::string& aWorkspace,
                                   const std::string& aKey)
{
  ++mCounts[aWorkspace + '/' + aKey].mExecutions;
}

uint64_t ExecutionLog::Executions(const std::string& aWorkspace,
                                  const std::string& aKey) const
{
  const auto it = mCounts.find(aWorkspace + '/' + aKey);
  return it == mCounts.end() ? 0 : it->second.mExecutions;
}

nlohmann::json ExecutionLog::ToJson() const
{
  nlohmann::json document;
  auto executions = nlohmann::json::object();
  auto duplicates = nlohmann::json::array();
  uint64_t repeatedArrivals = 0;
  for (const auto& [key, counts] : mCounts) {
    if (counts.mExecutions > 0) {
      executions[key] = counts.mExecutions;
    }
    if (counts.mExecutions > 1) {
      nlohmann::json entry;
      entry["key"] = key;
      entry["count"] = counts.mExecutions;
      duplicates.push_back(std::move(entry));
    }
    repeatedArrivals += counts.mArrivals > 1 ? counts.mArrivals - 1 : 0;
  }
  document["executions"] = std::move(executions);
  document["duplicates"] = std::move(duplicates);
  document["repeated_arrivals"] = repeatedArrivals;
  return document;
}

} // namespace pollenway
