#include "ExecutionCheck.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

constexpr size_t kMaxReportBytes = 512 * 1024 * 1024;
constexpr size_t kMaxExamples = 10;

} // namespace

ExecutionCheck::ExecutionCheck(const std::vector<IpEndpoint>& aAdmins,
                               const std::string& aRunId)
  : mAdmins(aAdmins)
  , mRunMarker("/" + aRunId + "-")
{
}

Awaitable<void> ExecutionCheck::Run(asio::any_io_executor aExecutor,
                                    const LoadStatistics& aStatistics)
{
  HttpClientPoolOptions options;
  HttpClientPool pool(aExecutor, options);
  for (const auto& it : mAdmins) {
    ErrorCode ec;
    const tcp::endpoint endpoint(asio::ip::make_address(it.mAddress, ec),
                                 it.mPort);
    TextRequest request(http::verb::get, "/admin/executions", 11);
    request.set(http::field::host, it.mAddress);
    auto answer = co_await pool.Exchange(
      endpoint, std::move(request), std::chrono::seconds(20), kMaxReportBytes);
    const auto report = nlohmann::json::parse(
      answer ? answer.value().body() : "", nullptr, false);
    if (report.is_object()) {
      Count(report);
    } else {
      ++mUnreachable;
    }
  }
  for (const auto& [key, count] : mExecutions) {
    const bool neverRan = aStatistics.KeysNeverRun().count(key) > 0;
    mDuplicates += count > 1 ? 1 : 0;
    mFalseNotRun += neverRan ? 1 : 0;
    if ((count > 1 || neverRan) && mExamples.size() < kMaxExamples) {
      mExamples.push_back(key);
    }
  }
  for (const auto& key : aStatistics.KeysAnswered()) {
    mAnsweredNotExecuted += mExecutions.count(key) == 0 ? 1 : 0;
  }
}

void ExecutionCheck::Count(const nlohmann::json& aReport)
{
  for (const auto& [key, count] : aReport.at("executions").items()) {
    const size_t n = key.find(mRunMarker);
    if (n != std::string::npos) {
      mExecutions[key.substr(n + 1)] += count.get<uint64_t>();
    }
  }
  mWithAuthorization += aReport.value("with_authorization", uint64_t(0));
  for (const auto& it : aReport.at("targets")) {
    mSlotsExceeded += it.value("peak_slots", 0u) > it.value("slots", 0u);
  }
}

bool ExecutionCheck::IsClean() const
{
  return mUnreachable + mDuplicates + mFalseNotRun + mWithAuthorization +
           mSlotsExceeded ==
         0;
}

nlohmann::json ExecutionCheck::ToJson() const
{
  nlohmann::json document;
  document["executed_keys"] = mExecutions.size();
  document["executed_twice"] = mDuplicates;
  document["not_run_but_executed"] = mFalseNotRun;
  document["answered_but_not_executed"] = mAnsweredNotExecuted;
  document["with_authorization"] = mWithAuthorization;
  document["targets_over_slots"] = mSlotsExceeded;
  document["unreachable_admin_ports"] = mUnreachable;
  document["examples"] = mExamples;
  return document;
}

} // namespace pollenway
