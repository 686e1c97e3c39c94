#include "decision/placement.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis REGION_CHARGE{60}; ///< for leaving the data centre
constexpr Millis REMOTE_CHARGE{250}; ///< for leaving the region, whose links are slow and paid for by volume
constexpr double LARGE_FACTOR = 5; ///< a large body is charged so many times
constexpr double CROWDING = 0.3; ///< share of a run's time that a full upstream takes longer
constexpr Millis UNKNOWN_RUN{100}; ///< while no run of the class has ended
constexpr double JITTER = 0.1; ///< so that routers that know the same do not all ask the same upstream

Millis charge(Distance distance, bool large)
{
    const double factor = large ? LARGE_FACTOR : 1;
    switch (distance) {
    case Distance::SameDataCentre:
        return Millis();
    case Distance::SameRegion:
        return REGION_CHARGE * factor;
    case Distance::OtherRegion:
        return REMOTE_CHARGE * factor;
    }
    return Millis();
}

bool isFull(const PlacementCandidate &candidate)
{
    return candidate.load >= candidate.slots;
}

bool isOpen(const PlacementCandidate &candidate, const PlacementConstraints &constraints)
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
    const Millis usual = constraints.serviceTime > Millis() ? constraints.serviceTime : UNKNOWN_RUN;
    const Millis run = candidate.serviceTime > Millis() ? candidate.serviceTime : usual;
    const double slots = std::max(1.0, candidate.slots);
    const double ahead = std::max(0.0, candidate.load + 1 - slots);
    const double crowding = CROWDING * std::min(1.0, candidate.load / slots);
    return run * (1 + crowding + ahead / slots);
}

std::optional<std::size_t> placeRequest(const std::vector<PlacementCandidate> &candidates,
                                        const PlacementConstraints &constraints, Random &random)
{
    std::optional<std::size_t> best;
    double least = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PlacementCandidate &candidate = candidates[index];
        if (!isOpen(candidate, constraints)) {
            continue;
        }
        const Millis expected = expectedTime(candidate, constraints) * (1 + JITTER * random.uniform());
        const double cost = (expected + charge(candidate.distance, constraints.largeBody)).value;
        if (!best || cost < least) {
            best = index;
            least = cost;
        }
    }
    return best;
}

} // namespace mustardpond
