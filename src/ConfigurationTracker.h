#pragma once

#include "Ids.h"
#include "Result.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenway {

/// Holds the accepted configuration with the highest generation. Does not parse
/// the text: callers validate it before they call `Accept`.
class ConfigurationTracker
{
public:
  /// Action to take after a peer has reported its generation.
  enum class PeerAction
  {
    Nothing,
    Fetch,          ///< The peer has a higher generation: request it.
    Send,           ///< The peer has a lower generation: send the current one.
    ContentDiffers, ///< Equal generation, different content: report it.
  };

  struct Counts
  {
    uint64_t mAccepted = 0;
    uint64_t mRefusedLower = 0;
    uint64_t mContentDiffers = 0;
  };

  /// Accepts a validated configuration from any source. Returns true if it
  /// replaces the current one, false if it is the current one. Errors:
  /// InvalidState if the generation is lower or 0, Conflict if it is equal and
  /// the content differs.
  Result<bool> Accept(uint64_t aGeneration, std::string aText);

  /// Compares the current configuration with the one that a peer reports.
  /// Returns Fetch at most once per second for the same generation, so that
  /// many peers with a new generation cause one transfer.
  PeerAction OnPeerGeneration(uint64_t aGeneration,
                              uint64_t aHash,
                              TimePoint aNow);

  /// Returns false until a configuration has been accepted. An instance without
  /// one gets it from the store or, if the store is down, from the first peer
  /// that has one.
  bool HasConfiguration() const { return mGeneration != 0; }

  /// Returns 0 if there is no configuration yet.
  uint64_t Generation() const { return mGeneration; }
  /// Returns the hash of the text; 0 if there is no configuration yet.
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
