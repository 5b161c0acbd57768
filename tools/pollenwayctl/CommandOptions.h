#pragma once

#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace pollenway {

/// The values of the flags that commands use.
struct CommandOptions
{
  /// Longest wait for each part of an answer.
  Duration mTimeout = std::chrono::seconds(2);
  /// How long a write to the store is repeated until its outcome is known.
  Duration mWriteRetryTimeout = std::chrono::seconds(10);
  /// `apply` numbers the configuration above this generation.
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
  /// Admin ports: ADDRESS:PORT,...
  std::string mInstances;
  /// Admin port of instances that are known from zone views.
  uint16_t mAdminPort = 7072;
};

} // namespace pollenway
