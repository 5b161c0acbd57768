#pragma once

#include "AttemptId.h"
#include "RecordKey.h"
#include "Time.h"

#include <tuple>

namespace pollenway {

/// State of an idempotency record.
enum class RecordState
{
  Pending,  ///< Only at the primary; not yet acknowledged by the backup.
  Started,  ///< Its attempt may be running or may have run.
  Answered, ///< Ran; the answer is stored.
  Ran,      ///< Ran; the answer exceeded a size limit and is not stored.
  Unknown,  ///< May have run; its receiver does not know.
  NotRun,   ///< Its attempt provably did not run; the key may run again.
};

/// A record as sent between homes. Times are relative because clocks differ.
struct RecordCopy
{
  RecordKey mKey;
  /// Hash of method, path and body length, to detect a reused key.
  uint64_t mFingerprint = 0;
  RecordState mState = RecordState::Started;
  AttemptId mAttempt;
  /// Increases with each change of a partition's records.
  uint64_t mVersion = 0;
  /// Time since the attempt was permitted.
  Duration mAge{};
  /// Time until the record may be removed.
  Duration mTimeToExpiry{};
  /// The stored answer; opaque to the homes.
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
