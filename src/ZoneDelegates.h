#pragma once

#include "InstanceTable.h"
#include "Time.h"
#include "ZoneDelegate.h"

#include <vector>

namespace pollenway {

/// Number of instances of a zone that exchange digests with other zones. With
/// two, the loss of one does not hide the zone from the others.
constexpr size_t kDelegatesPerZone = 2;

/// Returns the delegates of the own zone, the first one first: the live
/// instances with the lowest hashes of their names, those with a recent summary
/// before the others, and those that are ready or just starting before those
/// that are stopping or can't start. The first delegate also reads the store
/// for its zone. All instances of a zone choose the same ones when their views
/// of it agree; when these differ, more instances act as delegates, which
/// receivers tolerate. Starting instances rank like ready ones, because each
/// would rank itself first when it becomes ready before it hears that the
/// others are.
std::vector<ZoneDelegate> ChooseDelegates(const InstanceTable& aInstances,
                                          const ZoneDelegate& aSelf,
                                          bool aIsSelfAvailable,
                                          TimePoint aNow);

} // namespace pollenway
