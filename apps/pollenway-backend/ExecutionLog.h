#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace pollenway {

/// Counts arrivals and executions of each request with an Idempotency-Key, over
/// all targets of the process.
class ExecutionLog
{
public:
  /// Called when a request has got a slot. Only its header has been read.
  void RecordArrival(const std::string& aWorkspace, const std::string& aKey);
  /// Called when the whole body has been read and the work starts. The request
  /// counts as executed even if it is cancelled or the target crashes later.
  void RecordExecution(const std::string& aWorkspace, const std::string& aKey);

  uint64_t Executions(const std::string& aWorkspace,
                      const std::string& aKey) const;
  /// Returns {"executions": {"workspace/key": count}, "duplicates": [..],
  /// "repeated_arrivals": count}.
  nlohmann::json ToJson() const;
  void Clear() { mCounts.clear(); }

private:
  struct Counts
  {
    uint32_t mArrivals = 0;
    uint32_t mExecutions = 0;
  };

  std::unordered_map<std::string, Counts> mCounts;
};

} // namespace pollenway
