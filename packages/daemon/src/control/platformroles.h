/// The roles of members at the platform's store. All members compute the same roles from the list of members, so no
/// election is needed.
#pragma once

#include "membership/member.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace mustardpond {

/// Whether the member watches the platform for its data centre: one of the two highest by rendezvous hashing.
bool watchesPlatform(const std::vector<Member> &members, const Member &self);

/// Returns the member's place, from 0, among the standbys of its data centre, which watch the platform while the
/// watchers do not answer; nothing if it is none.
std::optional<std::size_t> standbyPlaceOf(const std::vector<Member> &members, const Member &self);

/// Whether a standby watches the platform: the first one if any watcher is silent, the others if all are.
bool replacesWatchers(std::size_t standbyPlace, std::size_t watchers, std::size_t silentWatchers);

/// Returns the members that watch the platform for a data centre, without those that watch only for lack of others.
std::vector<Incarnation> watchersOf(const std::vector<Member> &members, const std::string &dataCentre);

/// Whether the member removes a dead member's record from the store. The watchers of the dead member's data centre do,
/// or those of all data centres if no member there is eligible. A member that cannot reach the store never does, since
/// a failed call costs as much as a successful one.
bool removesRecordOf(const Member &dead, const std::vector<Member> &members, const Member &self);

} // namespace mustardpond
