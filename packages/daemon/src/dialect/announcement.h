/// A backend server's announcement of itself.
#pragma once

#include "config/daemonsettings.h"
#include "membership/member.h"

#include "foundation/clock.h"

#include <cstdint>
#include <string>

namespace mustardpond {

/// Sent when the server starts and about once a second from then on.
struct Announcement {
    std::string id;
    std::string service; ///< empty in the announcement of a server that leaves and names only its id
    Endpoint address;
    UpstreamState state = UpstreamState::Ready;
    std::uint32_t slots = 1;
    std::uint64_t born = 0; ///< start time of the server in Unix milliseconds; 0 if not given
    std::uint64_t sequence = 0; ///< increases with each announcement since the server's start; 0 if not given
    /// In a deregistration that does not name the start it ends: every start of the id up to this Unix millisecond, the
    /// time of its receipt, has ended. 0 if not given.
    std::uint64_t endedAt = 0;
    Millis warmupRemaining; ///< time for which the server is still slow after its start
};

} // namespace mustardpond
