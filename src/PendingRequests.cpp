#include "PendingRequests.h"

#include <algorithm>

namespace pollenway {

namespace {
constexpr size_t kMaxAnsweredIds = 1024;
} // namespace

uint64_t PendingRequests::Add(const InstanceName& aPeer,
                              Incarnation aPeerIncarnation,
                              PeerKind aReplyKind,
                              TimePoint aNow,
                              Duration aTimeout)
{
  const uint64_t id = ++mLastId;
  mRequests.emplace(
    id,
    Request{ id, aPeer, aPeerIncarnation, aReplyKind, aNow, aNow + aTimeout });
  return id;
}

std::optional<PendingRequests::Request> PendingRequests::Match(
  const PeerMessage& aReply,
  TimePoint aNow)
{
  if (!aReply.mIsReply || aReply.mReceiverIncarnation != mOwnIncarnation ||
      aReply.mRequestId == 0 || aReply.mRequestId > mLastId) {
    ++mCounts.mMismatched;
    return {};
  }
  const auto it = mRequests.find(aReply.mRequestId);
  if (it == mRequests.end()) {
    const bool isRepeated =
      std::find(mAnswered.begin(), mAnswered.end(), aReply.mRequestId) !=
      mAnswered.end();
    ++(isRepeated ? mCounts.mRepeated : mCounts.mLate);
    return {};
  }
  const Request request = it->second;
  if (request.mPeer != aReply.mSender ||
      (request.mPeerIncarnation != 0 &&
       request.mPeerIncarnation != aReply.mIncarnation) ||
      request.mReplyKind != aReply.Kind()) {
    ++mCounts.mMismatched;
    return {};
  }
  mRequests.erase(it);
  if (aNow >= request.mDeadline) {
    ++mCounts.mLate;
    return {};
  }
  mAnswered.push_back(request.mId);
  if (mAnswered.size() > kMaxAnsweredIds) {
    mAnswered.pop_front();
  }
  ++mCounts.mMatched;
  return request;
}

std::vector<PendingRequests::Request> PendingRequests::Expire(TimePoint aNow)
{
  std::vector<Request> out;
  for (auto it = mRequests.begin(); it != mRequests.end();) {
    if (aNow >= it->second.mDeadline) {
      out.push_back(it->second);
      it = mRequests.erase(it);
    } else {
      ++it;
    }
  }
  mCounts.mExpired += out.size();
  return out;
}

void PendingRequests::Abandon(const InstanceName& aPeer)
{
  std::erase_if(mRequests, [&](const auto& aEntry) {
    return aEntry.second.mPeer == aPeer;
  });
}

} // namespace pollenway
