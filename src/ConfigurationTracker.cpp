#include "ConfigurationTracker.h"

#include "Assert.h"
#include "HashOf.h"

namespace pollenway {

namespace {
constexpr Duration kFetchRetryInterval = std::chrono::seconds(1);
} // namespace

Result<bool> ConfigurationTracker::Accept(uint64_t aGeneration,
                                          std::string aText)
{
  if (aGeneration < mGeneration || aGeneration == 0) {
    ++mCounts.mRefusedLower;
    return Error{ ResultCode::InvalidState,
                  "configuration generation " + std::to_string(aGeneration) +
                    " is below " + std::to_string(mGeneration),
                  {} };
  }
  const uint64_t hash = HashOf({ aText });
  if (aGeneration == mGeneration) {
    if (hash == mHash) {
      return false;
    }
    ++mCounts.mContentDiffers;
    return Error{ ResultCode::Conflict,
                  "generation " + std::to_string(aGeneration) +
                    " exists with different content",
                  {} };
  }
  POLLENWAY_ASSERT(aGeneration > mGeneration,
                   "the configuration generation did not increase");
  mGeneration = aGeneration;
  mHash = hash;
  mText = std::move(aText);
  ++mCounts.mAccepted;
  return true;
}

ConfigurationTracker::PeerAction ConfigurationTracker::OnPeerGeneration(
  uint64_t aGeneration,
  uint64_t aHash,
  TimePoint aNow)
{
  if (aGeneration < mGeneration) {
    return PeerAction::Send;
  }
  if (aGeneration == mGeneration) {
    if (aHash == mHash) {
      return PeerAction::Nothing;
    }
    ++mCounts.mContentDiffers;
    return PeerAction::ContentDiffers;
  }
  if (aGeneration <= mRequestedGeneration && aNow < mNextFetchAt) {
    return PeerAction::Nothing;
  }
  mRequestedGeneration = aGeneration;
  mNextFetchAt = aNow + kFetchRetryInterval;
  return PeerAction::Fetch;
}

} // namespace pollenway
