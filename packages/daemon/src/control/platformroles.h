/// The roles of members at the platform's store. All members compute the same roles from the list of members, so no
/// election is needed.
#pragma once

#include "membership/member.h"

#include <vector>

namespace mustardpond {

/// Whether the member watches the platform for its data centre: one of the two highest by rendezvous hashing.
bool watchesPlatform(const std::vector<Member> &members, const Member &self);

/// Returns the members that watch the platform for a data centre, without those that watch only for lack of others.
std::vector<Incarnation> watchersOf(const std::vector<Member> &members, const std::string &dataCentre);

/// Whether the member removes a dead member's record from the store. The watchers of the dead member's data centre do,
/// or those of all data centres if no member there is eligible. A member that cannot reach the store never does, since
/// a failed call costs as much as a successful one.
bool removesRecordOf(const Member &dead, const std::vector<Member> &members, const Member &self);

} // namespace mustardpond
