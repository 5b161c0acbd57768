#pragma once

#include "BackendTarget.h"
#include "ExecutionLog.h"
#include "HttpServer.h"

#include <memory>
#include <string>
#include <vector>

namespace pollenway {

/// The targets of one backend stand-in and the admin port that they share.
class BackendServer
{
public:
  explicit BackendServer(asio::any_io_executor aExecutor);

  /// Adds a target and starts it.
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
  /// Applies a command to the target of this name, or to all targets for "*".
  /// Returns false if no target has the name.
  bool Apply(const std::string& aName, const nlohmann::json& aCommand);

  asio::any_io_executor mExecutor;
  ExecutionLog mLog;
  std::vector<std::unique_ptr<BackendTarget>> mTargets;
  HttpServer mAdmin;
};

} // namespace pollenway
