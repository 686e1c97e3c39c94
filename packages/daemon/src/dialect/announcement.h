/// What a backend server says of itself.
#pragma once

#include "config/daemonsettings.h"
#include "membership/member.h"

#include "foundation/clock.h"

#include <cstdint>
#include <string>

namespace mustardpond {

/// Sent at its start and then every second or so.
struct Announcement {
    std::string id;
    std::string service; ///< empty in a farewell
    Endpoint address;
    UpstreamState state = UpstreamState::Ready;
    std::uint32_t slots = 1;
    std::uint64_t born = 0; ///< its start, in Unix milliseconds; 0 when it is not told
    std::uint64_t sequence = 0; ///< grows with each announcement of one start; 0 when it is not told
    Millis warmupRemaining; ///< how much longer it is slow after its start
};

} // namespace mustardpond
