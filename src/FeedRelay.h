#pragma once

#include "HttpTypes.h"
#include "PeerMessage.h"
#include "StateFeed.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace pollenway {

/// Answers the other instances of the zone from the feeds of one that reads
/// the store.
class FeedRelay
{
public:
  /// Whether this instance follows the kind at the store itself.
  using IsReading = std::function<bool(const std::string&)>;

  FeedRelay(asio::any_io_executor aExecutor, IsReading aIsReading);

  /// Serves the objects of a feed, which must outlive this object.
  void Add(const std::string& aKind, StateFeed& aFeed);
  /// Waits up to the request's time for a change.
  Awaitable<peer::ObjectsRead> Answer(peer::ReadObjects aRequest);

  /// A feed has advanced or was lost: answers those that wait for it.
  void WakeAll();

private:
  peer::ObjectsRead Read(const peer::ReadObjects& aRequest) const;

  asio::any_io_executor mExecutor;
  IsReading mIsReading;
  std::map<std::string, StateFeed*> mFeeds;
  /// Of the requests that wait for a change.
  std::set<asio::steady_timer*> mWaiting;
};

} // namespace pollenway
