#pragma once

#include "BodyMemory.h"
#include "HttpServer.h"
#include "Result.h"

#include <cstdint>
#include <functional>

namespace pollenway {

struct ForwardedRequest;

/// Accepts requests that other instances relay. Their number and the memory of
/// their bodies are limited, so that this instance's own callers keep most of
/// its sockets and memory.
class RelayListener
{
public:
  struct Options
  {
    unsigned mMaxSockets = 1024;
    uint64_t mMemoryBytes = 256 * 1024 * 1024;
  };

  /// Counts a relayed request during its own lifetime.
  class Slot
  {
  public:
    explicit Slot(RelayListener& aListener)
      : mListener(aListener)
    {
      ++mListener.mInFlight;
    }
    ~Slot() { --mListener.mInFlight; }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

  private:
    RelayListener& mListener;
  };

  RelayListener(asio::any_io_executor aExecutor,
                Options aOptions,
                HttpServer::Handler aHandler);

  HttpServer& Server() { return mServer; }
  const HttpServer& Server() const { return mServer; }
  /// Sets the limits of callers' connections, which also apply to relayed
  /// requests.
  void SetLimits(HttpLimits aLimits);
  /// Reads the fields that the first instance has set: service and number of
  /// attempts. Errors: BadRequest if they are missing or don't match the route.
  Result<void> ReadFields(ForwardedRequest& aRequest) const;
  /// Returns true if there are more relayed requests in flight than allowed.
  bool IsFull() const { return mInFlight > mMaxInFlight; }
  /// Memory for the bodies of relayed requests.
  BodyMemory& Bodies() { return mBodies; }
  size_t MaxBodyBytes() const { return mMaxBodyBytes; }
  unsigned InFlight() const { return mInFlight; }

private:
  unsigned mMaxInFlight;
  uint64_t mMaxBodyBytes;
  BodyMemory mBodies;
  HttpServer mServer;
  unsigned mInFlight = 0;
};

} // namespace pollenway
