#pragma once

#include "Ids.h"
#include "Result.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Keeps the accepted configuration with the highest generation seen. The text
/// is opaque here; callers validate it before `Accept`.
class ConfigurationTracker
{
public:
  /// What to do about a peer's generation.
  enum class PeerAction
  {
    Nothing,
    Fetch,          ///< The peer has a higher generation: ask it.
    Send,           ///< The peer has a lower generation: offer ours.
    ContentDiffers, ///< Equal generation, different content: report it.
  };

  struct Counts
  {
    uint64_t mAccepted = 0;
    uint64_t mRefusedLower = 0;
    uint64_t mContentDiffers = 0;
  };

  /// Takes a validated configuration from any source. True if it is now in
  /// force, false if it was already. Errors: InvalidState for a generation
  /// that is lower or 0, Conflict for an equal one with different content.
  Result<bool> Accept(uint64_t aGeneration, std::string aText);

  /// Compares with what a peer reports. Returns Fetch at most once per second,
  /// so that many peers with a new generation cause one transfer.
  PeerAction OnPeerGeneration(uint64_t aGeneration,
                              uint64_t aHash,
                              TimePoint aNow);

  /// An instance without a configuration takes it from the store or, if the
  /// store is down, from the first peer that has one.
  bool HasConfiguration() const { return mGeneration != 0; }

  /// 0 if there is none yet.
  uint64_t Generation() const { return mGeneration; }
  /// Hash of the text; 0 if there is none yet.
  uint64_t Hash() const { return mHash; }
  const std::string& Text() const { return mText; }
  const Counts& GetCounts() const { return mCounts; }

private:
  uint64_t mGeneration = 0;
  uint64_t mHash = 0;
  std::string mText;
  uint64_t mRequestedGeneration = 0;
  TimePoint mNextFetchAt;
  Counts mCounts;
};

} // namespace pollenway
