#pragma once

#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace pollenway {

/// Values of the command-line flags that commands use.
struct CommandOptions
{
  /// Timeout of each part of an answer.
  Duration mTimeout = std::chrono::seconds(2);
  /// Maximum time that a write to the store is retried while its outcome is
  /// unknown.
  Duration mWriteRetryTimeout = std::chrono::seconds(10);
  /// `apply` writes a generation greater than this.
  uint64_t mAboveGeneration = 0;
  bool mPrune = false;
  bool mYes = false;
  bool mZoneIsTerminated = false;
  std::string mSuccessor;
  std::string mService;
  std::string mFrom;
  std::string mTo;
  double mStepCap = 0.1;
  std::optional<double> mRateCap = std::nullopt;
  double mPaceSeconds = 30;
  double mFinalShare = 1;
  std::optional<double> mStep = std::nullopt;
  std::optional<double> mDemand = std::nullopt;
  std::string mId;
  /// Admin ports, as ADDRESS:PORT,...
  std::string mInstances;
  /// Admin port of the instances listed in zone views.
  uint16_t mAdminPort = 7072;
};

} // namespace pollenway
