#include "LoadPlan.h"

#include "RequestTarget.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace pollenway {

namespace {

constexpr uint64_t kPostingBytes = 200;
/// Services with at least this timeout get uploads.
constexpr uint64_t kUploadTimeoutMs = 60'000;

void AddOperation(const nlohmann::json& aService,
                  uint64_t aUploadBytes,
                  std::vector<Operation>& aOperations)
{
  for (const auto& route : aService.at("routes")) {
    if (route.value("access", "keyed") != "keyed") {
      continue;
    }
    Operation operation;
    operation.mName = aService.at("name");
    operation.mService = aService.at("name");
    operation.mMethod = route.at("methods").at(0);
    operation.mPath = route.at("path_prefix");
    if (route.value("execution", "idempotent") != "idempotent") {
      const bool isUpload =
        aService.value("timeout_ms", uint64_t(0)) >= kUploadTimeoutMs;
      operation.mHasKey = true;
      operation.mBodyBytes = isUpload ? aUploadBytes : kPostingBytes;
      operation.mShare = isUpload ? 0.02 : 0.28;
    } else {
      operation.mShare = 0.7;
    }
    aOperations.push_back(std::move(operation));
    return;
  }
}

/// Returns the first `aCount` addresses of each IPv4 /24 block. Other blocks
/// are skipped; wider ones are assumed to be default blocks.
std::vector<std::string> SourcesOf(const nlohmann::json& aBlocks,
                                   unsigned aCount)
{
  std::vector<std::string> sources;
  for (const auto& it : aBlocks) {
    const std::string prefix = it.at("prefix");
    const size_t slash = prefix.find(".0/24");
    if (slash == std::string::npos) {
      continue;
    }
    for (unsigned i = 1; i <= std::min(aCount, 254u); ++i) {
      sources.push_back(prefix.substr(0, slash + 1) + std::to_string(i));
    }
  }
  return sources;
}

Error JsonError(const nlohmann::json::exception& aException)
{
  return Error{ ResultCode::SyntaxError, aException.what(), {} };
}

} // namespace

Result<void> LoadPlan::ReadPlan(const std::string& aText)
{
  try {
    const auto document = nlohmann::json::parse(aText);
    for (const auto& it : document.value("operations", nlohmann::json())) {
      Operation operation;
      operation.mName = it.at("name");
      operation.mService = it.at("service");
      operation.mMethod = it.value("method", "GET");
      operation.mPath = it.at("path");
      operation.mBodyBytes = it.value("body_bytes", uint64_t(0));
      operation.mShare = it.value("share", 1.0);
      operation.mHasKey =
        it.value("idempotency_key", operation.mMethod != "GET");
      operation.mHeaders = it.value("headers", operation.mHeaders);
      mOperations.push_back(std::move(operation));
    }
    for (const auto& it : document.value("workspaces", nlohmann::json())) {
      WorkspacePlan workspace;
      workspace.mName = it.at("name");
      workspace.mKey = it.value("key", "");
      workspace.mRate = it.value("rate", workspace.mRate);
      workspace.mBurst = it.value("burst", workspace.mBurst);
      workspace.mLoad = it.value("load", 0.9 * workspace.mRate);
      workspace.mShares = it.value("shares", workspace.mShares);
      workspace.mSources = it.value("sources", workspace.mSources);
      mWorkspaces.push_back(std::move(workspace));
    }
  } catch (const nlohmann::json::exception& e) {
    return JsonError(e);
  }
  return outcome::success();
}

Result<void> LoadPlan::ReadInventory(const std::string& aText,
                                     double aLoadFactor,
                                     unsigned aCallersPerBlock,
                                     uint64_t aUploadBytes)
{
  try {
    const auto document = nlohmann::json::parse(aText);
    for (const auto& it : document.at("services")) {
      AddOperation(it, aUploadBytes, mOperations);
    }
    const auto sources =
      SourcesOf(document.value("client_blocks", nlohmann::json::array()),
                aCallersPerBlock);
    for (const auto& it : document.at("workspaces")) {
      WorkspacePlan workspace;
      workspace.mName = it.at("name");
      workspace.mKey = "demo-key-" + workspace.mName;
      workspace.mRate = it.at("rate");
      workspace.mBurst = it.at("burst");
      workspace.mLoad = aLoadFactor * workspace.mRate;
      workspace.mSources = sources;
      mWorkspaces.push_back(std::move(workspace));
    }
  } catch (const nlohmann::json::exception& e) {
    return JsonError(e);
  }
  return outcome::success();
}

Result<std::vector<IpEndpoint>> ParseEndpoints(const std::string& aText)
{
  std::vector<IpEndpoint> endpoints;
  std::istringstream entries(aText);
  std::string entry;
  while (std::getline(entries, entry, ',')) {
    const size_t colon = entry.rfind(':');
    const auto port = colon == std::string::npos
                        ? std::nullopt
                        : ParseNumber(entry.substr(colon + 1));
    if (!port || *port == 0 || *port > 65535) {
      return Error{ ResultCode::OutOfRange,
                    "expected ADDRESS:PORT, not " + entry,
                    {} };
    }
    IpEndpoint endpoint;
    endpoint.mAddress = entry.substr(0, colon);
    endpoint.mPort = uint16_t(*port);
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

} // namespace pollenway
