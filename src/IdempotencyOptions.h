#pragma once

#include "Time.h"

#include <cstddef>

namespace pollenway {

/// Settings of the at-most-once records; equal on all instances.
struct IdempotencyOptions
{
  /// Time for which a repeat is recognised.
  Duration mRetention = std::chrono::minutes(15);
  /// A permitted attempt starts within this time after its receiver first asked
  /// for permission, by the receiver's clock, or never. Records are kept this
  /// much longer than the retention time.
  Duration mStartWindow = std::chrono::seconds(4);
  /// Longest timeout of any service: after it an attempt that was not reported
  /// as ended counts as "outcome unknown".
  Duration mMaxServiceTimeout = std::chrono::seconds(60);
  /// Longest wait for the backup's acknowledgement.
  Duration mBackupAckTimeout = std::chrono::seconds(2);
  /// Unanswered messages between homes are sent again after this time.
  Duration mResendInterval = std::chrono::milliseconds(200);
  /// A transfer without progress for this time starts over.
  Duration mTransferTimeout = std::chrono::seconds(3);
  /// New keys are refused as not run above this number.
  size_t mMaxRecords = 200'000;
  /// Answers above this sum are not stored; their repeats get "already ran".
  size_t mMaxTotalAnswerBytes = 48u << 20;
  size_t mMaxStoredAnswerBytes = 64u << 10;
  /// Size of a page of records, below the largest peer message (1 MiB).
  size_t mMaxPageBytes = 512u << 10;
};

} // namespace pollenway
