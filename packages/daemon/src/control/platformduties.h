/// Which members do the fleet's work at the platform's store. All members come to the same answer without an election.
#pragma once

#include "membership/member.h"

#include <vector>

namespace mustardpond {

/// Whether the member watches the platform for its data centre: one of the two highest by rendezvous hashing.
bool watchesPlatform(const std::vector<Member> &members, const Member &self);

/// Whether the member removes the record of a dead one from the store: a watcher of the dead member's data centre does,
/// or of any, when nobody there is left to do it. Never one that the store does not answer, as a failed call costs as
/// much as one that succeeds.
bool removesRecordOf(const Member &dead, const std::vector<Member> &members, const Member &self);

} // namespace mustardpond
