#pragma once

#include "HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace pollenway {

/// A target on a loopback port that records what it is sent and answers as
/// the platform's targets do, or as a test says.
class TargetStandIn
{
public:
  struct Seen
  {
    RequestHeader mHeader;
    std::string mBody;
  };
  /// Answers instead of the usual way; returns false to answer as usual.
  using Behaviour =
    std::function<Awaitable<bool>(HttpConnection&, const Seen&)>;

  explicit TargetStandIn(asio::any_io_executor aExecutor)
    : mServer(aExecutor, HttpLimits(), [this](HttpConnection& aConnection) {
      return Handle(aConnection);
    })
  {
  }

  bool Listen() { return bool(mServer.Listen("127.0.0.1", 0)); }
  uint16_t Port() const { return mServer.Port(); }
  HttpServer& Server() { return mServer; }

  static TextResponse Answer(const Seen& aSeen, http::status aStatus)
  {
    TextResponse out(aStatus, 11);
    out.set("X-Request-Id", aSeen.mHeader["X-Request-Id"]);
    out.set("X-Server-Signature", "signature");
    out.set("X-Server-Load", "1,0,8");
    out.body() = "answer to " + std::string(aSeen.mHeader.target());
    return out;
  }

  std::vector<Seen> mSeen;
  Behaviour mBehaviour;

private:
  Awaitable<void> Handle(HttpConnection& aConnection)
  {
    Seen seen{ aConnection.Header(), {} };
    auto body = co_await aConnection.ReadBody(1 << 24);
    if (body) {
      seen.mBody = std::move(body.value());
    }
    mSeen.push_back(seen);
    bool done = false;
    if (mBehaviour) {
      done = co_await mBehaviour(aConnection, seen);
    }
    if (!done) {
      co_await aConnection.Write(Answer(seen, http::status::ok));
    }
  }

  HttpServer mServer;
};

} // namespace pollenway
