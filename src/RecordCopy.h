#pragma once

#include "AttemptId.h"
#include "RecordKey.h"
#include "Time.h"

#include <tuple>

namespace pollenway {

/// What a home knows of a key.
enum class RecordState
{
  Pending,  ///< At the primary only: the backup has not acknowledged it yet.
  Started,  ///< Its attempt may run or have run.
  Answered, ///< Ran; the answer is stored.
  Ran,      ///< Ran; the answer was too large or memory was short.
  Unknown,  ///< May have run; its receiver can't tell.
  NotRun,   ///< Its attempt provably did not run; the key is free.
};

/// A record as sent between homes. Times are relative, as clocks differ.
struct RecordCopy
{
  RecordKey mKey;
  /// Hash of method, path and body length, to detect a reused key.
  uint64_t mFingerprint = 0;
  RecordState mState = RecordState::Started;
  AttemptId mAttempt;
  /// Grows with each change of a partition's records.
  uint64_t mVersion = 0;
  /// Time since the attempt was permitted.
  Duration mAge{};
  /// Time until the record may be forgotten.
  Duration mTimeToExpiry{};
  /// The stored answer, opaque here.
  std::string mAnswer;

  static auto Fields(auto& aSelf)
  {
    return std::tie(aSelf.mKey,
                    aSelf.mFingerprint,
                    aSelf.mState,
                    aSelf.mAttempt,
                    aSelf.mVersion,
                    aSelf.mAge,
                    aSelf.mTimeToExpiry,
                    aSelf.mAnswer);
  }
};

} // namespace pollenway
