#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace pollenway {

/// Counts the executions and arrivals of requests that carry an
/// Idempotency-Key, over all targets of the process.
class ExecutionLog
{
public:
  /// Called when the header of a request that got a slot was read.
  void NoteArrival(const std::string& aWorkspace, const std::string& aKey);
  /// Called when the work starts, with the whole body read. From here on the
  /// request counts as executed even if it is cancelled or the target crashes.
  void NoteExecution(const std::string& aWorkspace, const std::string& aKey);

  uint64_t Executions(const std::string& aWorkspace,
                      const std::string& aKey) const;
  /// {"executions": {"workspace/key": count}, "duplicates": [..],
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
