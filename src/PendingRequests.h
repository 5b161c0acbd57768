#pragma once

#include "PeerMessage.h"
#include "Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace pollenway {

/// Requests to peers that await an answer. An answer is accepted only if its
/// request id, its sender's incarnation and its kind are as expected; late,
/// mismatched and repeated answers are counted and discarded.
class PendingRequests
{
public:
  struct Request
  {
    uint64_t mId = 0;
    InstanceName mPeer;
    /// 0 if unknown; then an answer of any incarnation is accepted.
    Incarnation mPeerIncarnation = 0;
    PeerKind mReplyKind = PeerKind::HeartbeatReply;
    TimePoint mSentAt;
    TimePoint mDeadline;
  };

  struct Counts
  {
    uint64_t mMatched = 0;
    uint64_t mExpired = 0;
    uint64_t mLate = 0;
    uint64_t mMismatched = 0;
    uint64_t mRepeated = 0;
  };

  /// `aOwnIncarnation` is this instance's incarnation. Replies addressed to
  /// another one are rejected.
  explicit PendingRequests(Incarnation aOwnIncarnation)
    : mOwnIncarnation(aOwnIncarnation)
  {
  }

  /// Registers a request and returns its id, which is never 0.
  uint64_t Add(const InstanceName& aPeer,
               Incarnation aPeerIncarnation,
               PeerKind aReplyKind,
               TimePoint aNow,
               Duration aTimeout);

  /// Removes and returns the request that the reply answers. Returns nothing if
  /// the reply must be discarded.
  std::optional<Request> Match(const PeerMessage& aReply, TimePoint aNow);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<Request> Expire(TimePoint aNow);

  /// Removes all requests to the peer after its link was closed.
  void Abandon(const InstanceName& aPeer);

  size_t Size() const { return mRequests.size(); }
  const Counts& GetCounts() const { return mCounts; }

private:
  Incarnation mOwnIncarnation;
  uint64_t mLastId = 0;
  std::map<uint64_t, Request> mRequests;
  /// Ids of recently answered requests, to distinguish a repeated answer from a
  /// late one.
  std::deque<uint64_t> mAnswered;
  Counts mCounts;
};

} // namespace pollenway
