#pragma once

#include "DecisionLog.h"
#include "HttpServer.h"
#include "Ids.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace pollenway {

/// HTTP server of the admin port: state, metrics, explanations, withdrawals
/// and drains (docs/operator/state-dump.md). Has no authentication.
class AdminServer
{
public:
  /// What the server shows and starts. All are called on its executor.
  struct Callbacks
  {
    std::function<nlohmann::json()> mState;
    /// Text exposition.
    std::function<std::string()> mMetrics;
    /// Withdraws a key at this instance and tells the peers.
    std::function<void(const KeyId&)> mWithdraw;
    /// Array of zones with "members" and "confirmed".
    std::function<nlohmann::json()> mWithdrawalReport;
    /// Starts the graceful shutdown; repeated calls do nothing.
    std::function<void()> mDrain;
  };

  struct Options
  {
    InstanceName mName;
    ZoneName mZone;
    /// How long an answer to a withdrawal waits until all zones have confirmed,
    /// unless the request has "wait_ms". Below pollenwayctl's default timeout
    /// of 2 s: one crashed instance delays the confirmation by 6 s, and with a
    /// longer wait no instance's answer would reach the command.
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
