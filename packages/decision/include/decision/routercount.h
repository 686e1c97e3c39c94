/// The number of routers that share a bound of the whole fleet.
#pragma once

#include "foundation/clock.h"

#include <cstddef>
#include <vector>

namespace mustardpond {

/// Counts routers that are out of reach for some time more. A router that is cut off from the others would take itself
/// for the only one otherwise, and use up the whole bound, as would each of the others that are.
class RouterCount
{
public:
    /// Sets how many routers are known now, including this one.
    void update(std::size_t known, Millis now);
    /// Returns the most that were known at the same time within the last 20 s, at least 1.
    std::size_t count(Millis now) const;

private:
    struct Past {
        std::size_t known = 0;
        Millis until;
    };

    std::size_t m_known = 0;
    std::vector<Past> m_past; ///< higher counts from before, falling, each older than the next
};

} // namespace mustardpond
