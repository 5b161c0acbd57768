#pragma once

#include "DecisionLog.h"
#include "HttpServer.h"
#include "Ids.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace pollenway {

/// HTTP server of the admin port: state, metrics, explanations of requests,
/// key withdrawals and drains (docs/operator/state-dump.md). Requests are not
/// authenticated.
class AdminServer
{
public:
  /// Data sources and actions of the server, called on its executor.
  struct Callbacks
  {
    std::function<nlohmann::json()> mState;
    /// Returns the metrics in the text exposition format.
    std::function<std::string()> mMetrics;
    /// Withdraws a key at this instance and notifies the peers.
    std::function<void(const KeyId&)> mWithdraw;
    /// Returns an array of zones with "members" and "confirmed".
    std::function<nlohmann::json()> mWithdrawalReport;
    /// Starts the graceful shutdown; repeated calls have no effect.
    std::function<void()> mDrain;
  };

  struct Options
  {
    InstanceName mName;
    ZoneName mZone;
    /// Maximum time that the answer to a withdrawal is delayed until all zones
    /// have confirmed; "wait_ms" of the request overrides it. It is below
    /// pollenwayctl's default timeout of 2 s: a crashed instance delays the
    /// confirmation by 6 s, so with a longer wait the command would time out
    /// before any instance answers.
    Duration mConfirmationTimeout = std::chrono::milliseconds(1500);
  };

  AdminServer(asio::any_io_executor aExecutor,
              Options aOptions,
              const DecisionLog& aDecisions,
              Callbacks aCallbacks);

  Result<void> Listen(const std::string& aAddress, uint16_t aPort);
  HttpServer& Server() { return mServer; }

private:
  Awaitable<void> Handle(HttpConnection& aConnection);
  TextResponse HandleGet(std::string_view aTarget);
  TextResponse Explain(std::string_view aTarget) const;
  Awaitable<TextResponse> Withdraw(std::string aBody);

  asio::any_io_executor mExecutor;
  Options mOptions;
  const DecisionLog& mDecisions;
  Callbacks mCallbacks;
  HttpServer mServer;
};

} // namespace pollenway
