#pragma once

#include "HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace pollenway {

/// A target on a loopback port that records the requests that it receives and
/// answers as the platform's targets do, or as a test defines.
class TargetStandIn
{
public:
  struct ReceivedRequest
  {
    RequestHeader mHeader;
    std::string mBody;
  };
  /// Answers in place of the default; returns false to send the default answer.
  using Behaviour =
    std::function<Awaitable<bool>(HttpConnection&, const ReceivedRequest&)>;

  explicit TargetStandIn(asio::any_io_executor aExecutor)
    : mServer(aExecutor, HttpLimits(), [this](HttpConnection& aConnection) {
      return Handle(aConnection);
    })
  {
  }

  bool Listen() { return bool(mServer.Listen("127.0.0.1", 0)); }
  uint16_t Port() const { return mServer.Port(); }
  HttpServer& Server() { return mServer; }

  static TextResponse Answer(const ReceivedRequest& aRequest,
                             http::status aStatus)
  {
    TextResponse out(aStatus, 11);
    out.set("X-Request-Id", aRequest.mHeader["X-Request-Id"]);
    out.set("X-Server-Signature", "signature");
    out.set("X-Server-Load", "1,0,8");
    out.body() = "answer to " + std::string(aRequest.mHeader.target());
    return out;
  }

  std::vector<ReceivedRequest> mReceived;
  Behaviour mBehaviour;

private:
  Awaitable<void> Handle(HttpConnection& aConnection)
  {
    ReceivedRequest received{ aConnection.Header(), {} };
    auto body = co_await aConnection.ReadBody(1 << 24);
    if (body) {
      received.mBody = std::move(body.value());
    }
    mReceived.push_back(received);
    bool done = false;
    if (mBehaviour) {
      done = co_await mBehaviour(aConnection, received);
    }
    if (!done) {
      co_await aConnection.Write(Answer(received, http::status::ok));
    }
  }

  HttpServer mServer;
};

} // namespace pollenway
