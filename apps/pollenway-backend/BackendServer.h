#pragma once

#include "BackendTarget.h"
#include "ExecutionLog.h"
#include "HttpServer.h"

#include <memory>
#include <string>
#include <vector>

namespace pollenway {

/// All targets of one process and their common admin port.
class BackendServer
{
public:
  explicit BackendServer(asio::any_io_executor aExecutor);

  /// Starts a target.
  Result<void> Add(BackendTarget::Options aOptions);
  Result<void> ListenAdmin(const std::string& aAddress, uint16_t aPort)
  {
    return mAdmin.Listen(aAddress, aPort);
  }
  uint16_t AdminPort() const { return mAdmin.Port(); }
  void Stop();

  ExecutionLog& Executions() { return mLog; }
  const std::vector<std::unique_ptr<BackendTarget>>& Targets() const
  {
    return mTargets;
  }

private:
  Awaitable<void> Handle(HttpConnection& aConnection);
  nlohmann::json TargetStats() const;
  nlohmann::json ExecutionReport() const;
  /// Applies a command to the target of this name, or to all for "*". False if
  /// there is none.
  bool Apply(const std::string& aName, const nlohmann::json& aCommand);

  asio::any_io_executor mExecutor;
  ExecutionLog mLog;
  std::vector<std::unique_ptr<BackendTarget>> mTargets;
  HttpServer mAdmin;
};

} // namespace pollenway
