#pragma once

#include "Time.h"

#include <cstddef>

namespace pollenway {

/// Settings of the idempotency records. Must be equal on all instances.
struct IdempotencyOptions
{
  /// Time for which repeats of a request are detected.
  Duration mRetention = std::chrono::minutes(15);
  /// A permitted attempt starts within this time after its receiver first
  /// requested permission, by the receiver's clock; otherwise it never starts.
  /// Records are kept this much longer than the retention time.
  Duration mStartWindow = std::chrono::seconds(4);
  /// Upper bound of the timeouts of all services. After this time, the outcome
  /// of an attempt whose end was not reported counts as unknown.
  Duration mMaxServiceTimeout = std::chrono::seconds(60);
  /// Maximum time to wait for the backup's acknowledgement of a new record.
  Duration mBackupAckTimeout = std::chrono::seconds(2);
  /// Interval at which unanswered messages to homes are resent.
  Duration mResendInterval = std::chrono::milliseconds(200);
  /// A transfer that makes no progress for this time is restarted.
  Duration mTransferTimeout = std::chrono::seconds(3);
  /// Maximum number of records. When it is reached, new keys are refused as not
  /// run.
  size_t mMaxRecords = 200'000;
  /// Maximum total size of stored answers. Answers beyond it are not stored;
  /// repeats are then refused with `AlreadyRan`.
  size_t mMaxTotalAnswerBytes = 48u << 20;
  size_t mMaxStoredAnswerBytes = 64u << 10;
  /// Maximum size of a page of records. Below the maximum size of a peer
  /// message (1 MiB).
  size_t mMaxPageBytes = 512u << 10;
};

} // namespace pollenway
