/// Refusals: which requests may be turned away, and only with a director's approval.
#pragma once

#include "foundation/clock.h"

#include <string>
#include <vector>

namespace mustardpond {

/// An approved refusal as it applies to requests.
struct ApprovedRefusal {
    std::string id;
    std::string director;
    std::string service;
    std::string workClass;
    std::string region; ///< where callers are refused; empty for all regions
    double share = 0; ///< of matching requests, in [0, 1]
    Millis expires; ///< wall clock
};

/// What a request shows for the decision.
struct RefusalQuery {
    std::string service;
    std::string workClass;
    std::string region;
    double draw = 0; ///< a random number in [0, 1)
};

/// The refusal that turns this request away, or null. Expired ones never do.
const ApprovedRefusal *findRefusal(const std::vector<ApprovedRefusal> &refusals, const RefusalQuery &query,
                                   Millis wallClock);

} // namespace mustardpond
