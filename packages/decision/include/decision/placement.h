/// Choice of the upstream at which to reserve a slot, in a fleet whose routers see a few requests a second.
#pragma once

#include "decision/balancer.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

/// State, as known to a router, of one upstream that could run a request.
struct PlacementCandidate {
    Distance distance = Distance::SameDataCentre;
    double load = 0; ///< running and waiting requests, as far as known
    double organisationLoad = 0; ///< this router's running requests of the organisation
    double slots = 1;
    Millis serviceTime; ///< typical service time of the upstream; zero if unknown
    bool avoided = false; ///< not trusted by its gate, or its gate cannot be reached
    bool excluded = false; ///< a slot has already been requested there
};

/// Requirements of a request for its upstream.
struct PlacementConstraints {
    Millis serviceTime; ///< typical service time of its class over all upstreams; zero if unknown
    bool mayWait = false; ///< for a slot, at a gate whose slots are all in use
    bool includeUntrusted = false; ///< avoided upstreams are candidates too
    bool allowOtherRegions = true;
    bool largeBody = false; ///< its body, or the answers of its class, are expensive to transfer
    std::string organisation; ///< on whose behalf; empty if not authenticated
};

/// Returns the candidate with the lowest expected time plus a penalty for its distance, or std::nullopt when no
/// candidate is eligible. Unless the request may wait, candidates known to be full are left out. This moves requests
/// away from data centres that receive a burst while upstreams elsewhere have free slots, and from upstreams that are
/// temporarily slower than their peers. Queues of different hosts do not know of each other, so an organisation's
/// running requests count twice here: with fair shares at each queue, its next one is served sooner where it has fewer.
std::optional<std::size_t> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        const PlacementConstraints &constraints, Random &random);

/// Returns the expected time from the request for a slot until the end of the run.
Millis expectedTime(const PlacementCandidate &candidate, const PlacementConstraints &constraints);

} // namespace mustardpond
