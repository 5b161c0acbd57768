#pragma once

#include "HttpTypes.h"
#include "PeerMessage.h"
#include "StateFeed.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace pollenway {

/// Serves the feeds of an instance that reads the store to the other instances
/// of its zone.
class FeedRelay
{
public:
  /// Returns true if this instance watches the kind at the store itself.
  using IsReading = std::function<bool(const std::string&)>;

  FeedRelay(asio::any_io_executor aExecutor, IsReading aIsReading);

  /// Adds a feed to serve. The feed must outlive this object.
  void Add(const std::string& aKind, StateFeed& aFeed);
  /// Answers a request for objects. A request for changes waits for one up to
  /// the time that it gives, and a request for a listing for the first one.
  /// Listings are also served by an instance that does not watch the store.
  /// Changes after a position of a later era than the feed's are not served,
  /// and none while the store leaves a watch of this instance unanswered.
  Awaitable<peer::ObjectsRead> Answer(peer::ReadObjects aRequest);

  /// Wakes all waiting requests. Called when a feed has advanced, has lost the
  /// store or has an overdue watch.
  void WakeAll();

private:
  peer::ObjectsRead Read(const peer::ReadObjects& aRequest) const;
  /// Returns the longest time for which a watch at the store has been overdue;
  /// empty if none is. The other watches may have gone silent as well.
  std::optional<Duration> OverdueTime() const;
  /// Returns true if this instance has just started and waits for its own first
  /// listing.
  bool IsFirstListingPending(const std::string& aKind) const;

  asio::any_io_executor mExecutor;
  IsReading mIsReading;
  std::map<std::string, StateFeed*> mFeeds;
  /// Timers of the requests that wait for a change.
  std::set<asio::steady_timer*> mWaiting;
};

} // namespace pollenway
