/// Detection of a newer start of a backend server whose start time is earlier.
#pragma once

#include "foundation/clock.h"

#include <cstdint>

namespace mustardpond {

/// The starts of a backend server are ordered by their start times, which come from the time of day and mislead after
/// it was set back. An ended start can only be heard of by announcements that arrive late, for some seconds. A start
/// that goes on announcing itself while the known one is silent is therefore the newer one. Answers the load of late
/// announcements and clock steps, one announcement at a time.
class StartChallenge
{
public:
    /// An announcement of a start that looks older than the known one.
    struct Claim {
        std::uint64_t born = 0; ///< start time in Unix milliseconds
        std::uint64_t sequence = 0; ///< increases with each announcement of a start
        Millis knownHeardAt; ///< when the known start last announced itself
    };

    /// Returns whether the start replaces the known one.
    bool onClaim(const Claim &claim, Millis now);

private:
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    int m_claims = 0;
    Millis m_since;
};

} // namespace mustardpond
