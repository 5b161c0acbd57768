#pragma once

#include "Time.h"

#include <unordered_set>

namespace pollenway {

struct RequestContext;

/// The requests in progress at one server of an instance. A stop limits their
/// time to that of the process, and then ends them, so that each one gets a
/// final answer before its connection is closed.
class ActiveRequests
{
public:
  /// Keeps a request listed during its own lifetime. A limit that was set
  /// before also applies to the request.
  class Entry
  {
  public:
    Entry(ActiveRequests& aRequests, RequestContext& aRequest);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

  private:
    ActiveRequests& mRequests;
    RequestContext& mRequest;
  };

  /// Sets the latest deadline of all requests, those in progress and later
  /// ones. Attempts that are in progress continue until `EndAll`.
  void LimitTime(TimePoint aDeadline);
  /// Ends all attempts that have not begun to answer.
  void EndAll();

private:
  void Limit(RequestContext& aRequest) const;

  std::unordered_set<RequestContext*> mRequests;
  TimePoint mLatestDeadline = TimePoint::max();
};

} // namespace pollenway
