#include "decision/balancer.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

bool isEligible(const Candidate &candidate)
{
    return candidate.weight > 0 && !candidate.excluded;
}

double cost(const Candidate &candidate)
{
    return expectedTime(candidate).value / candidate.weight;
}

std::size_t pickWeighted(const std::vector<Candidate> &candidates, const std::vector<std::size_t> &pool, Random &random)
{
    double total = 0;
    for (const std::size_t index : pool) {
        total += candidates[index].weight * candidates[index].slots;
    }
    double remaining = random.uniform() * total;
    for (const std::size_t index : pool) {
        remaining -= candidates[index].weight * candidates[index].slots;
        if (remaining <= 0) {
            return index;
        }
    }
    return pool.back();
}

std::vector<std::size_t> eligibleAtDistance(const std::vector<Candidate> &candidates, Distance distance,
                                            Millis latencyTarget)
{
    std::vector<std::size_t> pool;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (isEligible(candidate) && candidate.distance == distance && expectedTime(candidate) <= latencyTarget) {
            pool.push_back(index);
        }
    }
    return pool;
}

std::optional<std::size_t> findLowestCost(const std::vector<Candidate> &candidates)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (isEligible(candidates[index]) && (!best || cost(candidates[index]) < cost(candidates[*best]))) {
            best = index;
        }
    }
    return best;
}

} // namespace

Millis expectedTime(const Candidate &candidate)
{
    const double slots = std::max(1.0, candidate.slots);
    const double rounds = std::max(1.0, std::ceil((candidate.load + 1) / slots));
    return candidate.roundTrip + candidate.serviceTime * rounds;
}

std::optional<std::size_t> chooseUpstream(const std::vector<Candidate> &candidates, Millis latencyTarget,
                                          Random &random)
{
    for (const Distance distance : {Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion}) {
        const auto pool = eligibleAtDistance(candidates, distance, latencyTarget);
        if (pool.empty()) {
            continue;
        }
        const std::size_t first = pickWeighted(candidates, pool, random);
        const std::size_t second = pickWeighted(candidates, pool, random);
        const double firstLoad = (candidates[first].load + 1) / candidates[first].slots;
        const double secondLoad = (candidates[second].load + 1) / candidates[second].slots;
        return firstLoad <= secondLoad ? first : second;
    }
    return findLowestCost(candidates);
}

} // namespace mustardpond
