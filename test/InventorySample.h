#pragma once

#include "Inventory.h"
#include "Sha256.h"

/// Returns a valid inventory in which each field differs from its default in at
/// least one element.
inline pollenway::Inventory SampleInventory()
{
  using namespace pollenway;
  using namespace std::chrono_literals;
  Inventory result;
  result.mGeneration = 12;
  result.mRegions = {
    { RegionName("north"), { ZoneName("n-a"), ZoneName("n-b") }, 1200.5 },
    { RegionName("south"), { ZoneName("s-a") }, 800 },
  };
  result.mLinks = { { RegionName("north"), RegionName("south"), 4e9, 55 } };
  result.mPlaces = {
    { PlaceName("p1"), ZoneName("n-a"), Lifecycle::Live, {} },
    { PlaceName("p2"), ZoneName("n-b"), Lifecycle::Draining, PlaceName("p1") },
    { PlaceName("p3"), ZoneName("s-a"), Lifecycle::Retired, PlaceName("p2") },
  };
  result.mServices = {
    { .mName = ServiceName("lookup"),
      .mRoutes = { { .mPathPrefix = "/stock",
                     .mMethods = { "GET", "HEAD" },
                     .mExecution = RouteExecution::Idempotent },
                   { .mPathPrefix = "/status",
                     .mMethods = {},
                     .mAccess = RouteAccess::Open,
                     .mExecution = RouteExecution::Unprotected } },
      .mTimeout = 2500ms,
      .mLookupTtl = 700ms,
      .mIdleTimeout = 9s,
      .mQueueLimit = 3 },
    { .mName = ServiceName("ledger"),
      .mRoutes = { { .mPathPrefix = "/levies", .mMethods = {} } } },
  };
  result.mTargets = {
    { .mName = TargetName("t1"),
      .mService = ServiceName("lookup"),
      .mPlace = PlaceName("p1"),
      .mAddress = "127.0.0.1",
      .mPort = 9000,
      .mSlots = 9,
      .mConnections = 80,
      .mState = Lifecycle::Draining },
    { .mName = TargetName("t2"),
      .mService = ServiceName("ledger"),
      .mPlace = PlaceName("p3"),
      .mAddress = "::1",
      .mPort = 9001,
      .mSlots = 7,
      .mState = Lifecycle::Retired },
  };
  result.mWorkspaces = { { WorkspaceName("w1"), 0.1, 5, 2.5 },
                         { WorkspaceName("w2"), 400, 100, 1 } };
  result.mKeys = {
    { KeyId("k1"), WorkspaceName("w1"), Sha256Hex("one"), false },
    { KeyId("k2"), WorkspaceName("w2"), Sha256Hex("two"), true },
  };
  result.mClientBlocks = { { "127.10.1.0/24", RegionName("north") },
                           { "2001:db8::/32", RegionName("south") } };
  result.mShifts = {
    { .mName = ShiftName("move"),
      .mService = ServiceName("lookup"),
      .mFrom = RegionName("north"),
      .mTo = RegionName("south"),
      .mShare = 0.25,
      .mStepCap = 0.05,
      .mRateCap = 120,
      .mFinalShare = 0.75,
      .mPace = 45s,
      .mMaxErrorShare = 0.03,
      .mMinHeadroom = 0.2,
      .mState = ShiftState::Running,
      .mReason = "" },
    { .mName = ShiftName("back"),
      .mService = ServiceName("ledger"),
      .mFrom = RegionName("south"),
      .mTo = RegionName("north"),
      .mRateCap = 1,
      .mState = ShiftState::RolledBack,
      .mReason = "errors at the destination" },
  };
  return result;
}
