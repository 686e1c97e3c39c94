#include "decision/placement.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis SAME_REGION_PENALTY{60}; ///< for leaving the data centre
constexpr Millis OTHER_REGION_PENALTY{250}; ///< for links between regions, which are slow and billed by volume
constexpr double LARGE_BODY_FACTOR = 5; ///< multiplies the penalty of a large body
constexpr double FULL_LOAD_SLOWDOWN = 0.3; ///< relative increase of the service time when all slots are in use
constexpr Millis DEFAULT_SERVICE_TIME{100}; ///< until a run of the class has ended
constexpr double JITTER_RATIO = 0.1; ///< keeps routers with the same view from all choosing the same upstream

Millis distancePenalty(Distance distance, bool largeBody)
{
    const double factor = largeBody ? LARGE_BODY_FACTOR : 1;
    switch (distance) {
    case Distance::SameDataCentre:
        return Millis();
    case Distance::SameRegion:
        return SAME_REGION_PENALTY * factor;
    case Distance::OtherRegion:
        return OTHER_REGION_PENALTY * factor;
    }
    return Millis();
}

bool isFull(const PlacementCandidate &candidate)
{
    return candidate.load >= candidate.slots;
}

bool isEligible(const PlacementCandidate &candidate, const PlacementConstraints &constraints)
{
    if (candidate.excluded || (candidate.avoided && !constraints.includeUntrusted)) {
        return false;
    }
    if (candidate.distance == Distance::OtherRegion && !constraints.allowOtherRegions) {
        return false;
    }
    return constraints.mayWait || !isFull(candidate);
}

} // namespace

Millis expectedTime(const PlacementCandidate &candidate, const PlacementConstraints &constraints)
{
    const Millis classServiceTime = constraints.serviceTime > Millis() ? constraints.serviceTime : DEFAULT_SERVICE_TIME;
    const Millis expectedServiceTime = candidate.serviceTime > Millis() ? candidate.serviceTime : classServiceTime;
    const double slots = std::max(1.0, candidate.slots);
    const double load = candidate.load + candidate.organisationLoad;
    const double queued = std::max(0.0, load + 1 - slots);
    const double slowdown = FULL_LOAD_SLOWDOWN * std::min(1.0, load / slots);
    return expectedServiceTime * (1 + slowdown + queued / slots);
}

std::optional<std::size_t> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        const PlacementConstraints &constraints, Random &random)
{
    std::optional<std::size_t> best;
    double lowestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        if (!isEligible(candidate, constraints)) {
            continue;
        }
        const Millis expected = expectedTime(candidate, constraints) * (1 + JITTER_RATIO * random.uniform());
        const double cost = (expected + distancePenalty(candidate.distance, constraints.largeBody)).value;
        if (!best || cost < lowestCost) {
            best = index;
            lowestCost = cost;
        }
    }
    return best;
}

} // namespace mustardpond
