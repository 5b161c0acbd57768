#include "ConfigurationTracker.h"

#include "Assert.h"
#include "HashOf.h"

namespace pollenway {

namespace {
constexpr Duration kFetchRetry = std::chrono::seconds(1);
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
                   "the configuration generation never goes back");
  mGeneration = aGeneration;
  mHash = hash;
  mText = std::move(aText);
  ++mCounts.mAccepted;
  return true;
}

ConfigurationTracker::PeerStep ConfigurationTracker::OnPeer(
  uint64_t aGeneration,
  uint64_t aHash,
  TimePoint aNow)
{
  if (aGeneration < mGeneration) {
    return PeerStep::Send;
  }
  if (aGeneration == mGeneration) {
    if (aHash == mHash) {
      return PeerStep::Nothing;
    }
    ++mCounts.mContentDiffers;
    return PeerStep::ContentDiffers;
  }
  if (aGeneration <= mFetching && aNow < mNextFetchAt) {
    return PeerStep::Nothing;
  }
  mFetching = aGeneration;
  mNextFetchAt = aNow + kFetchRetry;
  return PeerStep::Fetch;
}

} // namespace pollenway
