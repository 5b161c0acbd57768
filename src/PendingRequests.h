#pragma once

#include "PeerMessage.h"
#include "Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace pollenway {

/// Requests to peers that wait for their answers. An answer counts only if the
/// request id, the sender's incarnation and the kind are those expected; late,
/// mismatched and repeated answers are counted and dropped.
class PendingRequests
{
public:
  struct Request
  {
    uint64_t mId = 0;
    InstanceName mPeer;
    /// 0 if it is not known; then any incarnation may answer.
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

  /// `aOwnIncarnation` is the incarnation that replies must be meant for.
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

  /// The request that the reply answers, which is then done; none if the
  /// reply must be dropped.
  std::optional<Request> Match(const PeerMessage& aReply, TimePoint aNow);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<Request> Expire(TimePoint aNow);

  /// Gives up all requests to the peer, whose link was closed.
  void Abandon(const InstanceName& aPeer);

  size_t Size() const { return mRequests.size(); }
  const Counts& GetCounts() const { return mCounts; }

private:
  Incarnation mOwnIncarnation;
  uint64_t mLastId = 0;
  std::map<uint64_t, Request> mRequests;
  /// Ids answered lately, to tell a repeated answer from a late one.
  std::deque<uint64_t> mAnswered;
  Counts mCounts;
};

} // namespace pollenway
