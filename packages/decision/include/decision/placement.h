/// Where to reserve a slot, in a fleet whose routers see a few requests a second.
#pragma once

#include "decision/balancer.h"

#include <optional>
#include <vector>

namespace mustardpond {

/// What a router knows of one upstream that could take a request.
struct PlacementCandidate {
    Distance distance = Distance::SameDataCentre;
    double load = 0; ///< requests there, running and waiting, as far as known
    double slots = 1;
    Millis serviceTime; ///< usual time of a run there; zero when it is not known
    bool avoided = false; ///< not trusted by its gate, or its gate cannot be reached
    bool excluded = false; ///< asked already
};

/// What the request asks of its place.
struct PlacementConstraints {
    Millis serviceTime; ///< usual time of a run of its class anywhere
    bool mayWait = false; ///< for a slot, at a gate whose slots are all taken
    bool includeUntrusted = false; ///< avoided upstreams may be asked too
    bool allowOtherRegions = true;
    bool largeBody = false; ///< its body is dear to move
};

/// The candidate with the least expected time, in which farther ones are charged for the way. Without leave to wait,
/// those known to be full are left out. Answers a load that comes in bursts to some data centres while upstreams
/// elsewhere have free slots, and upstreams that are slower than their peers for a while. Nothing when no candidate is
/// left.
std::optional<std::size_t> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        const PlacementConstraints &constraints, Random &random);

/// Expected time from asking until the end of the run.
Millis expectedTime(const PlacementCandidate &candidate, const PlacementConstraints &constraints);

} // namespace mustardpond
