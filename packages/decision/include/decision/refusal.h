/// Refusals: which requests may be rejected, only with a director's approval.
#pragma once

#include "foundation/clock.h"

#include <string>
#include <vector>

namespace mustardpond {

/// An approved refusal and the requests to which it applies.
struct ApprovedRefusal {
    std::string id;
    std::string director;
    std::string service;
    std::string workClass;
    std::string region; ///< where callers are refused; empty for all regions
    double share = 0; ///< of matching requests, in [0, 1]
    Millis expires; ///< wall clock
};

/// Properties of a request that decide whether it is refused.
struct RefusalQuery {
    std::string service;
    std::string workClass;
    std::string region;
    double draw = 0; ///< uniform random number in [0, 1), compared with the share
};

/// Returns the refusal that applies to the request, or null. Expired refusals never apply.
const ApprovedRefusal *findRefusal(const std::vector<ApprovedRefusal> &refusals, const RefusalQuery &query,
                                   Millis wallClock);

} // namespace mustardpond
