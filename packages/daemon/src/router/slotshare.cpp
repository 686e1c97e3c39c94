#include "slotshare.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double MAX_WEIGHT = 1e9; ///< gates reject frames with a higher one

} // namespace

double slotWeight(const Organisation &organisation)
{
    const int steps = std::max(0, organisation.priority.value_or(0));
    return std::min(MAX_WEIGHT, std::ldexp(std::max(0.0, organisation.ratePerSecond), -steps));
}

void setSlotShare(const Organisation *organisation, wire::ReserveT &reserve)
{
    if (organisation) {
        reserve.organisation = shareName(organisation);
        reserve.weight = slotWeight(*organisation);
    }
}

} // namespace mustardpond
