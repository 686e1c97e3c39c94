/// Distributes requests among destinations in proportion to their weights.
#pragma once

#include "foundation/random.h"

#include <cstddef>
#include <vector>

namespace mustardpond {

/// Smooth weighted round robin: any run of consecutive requests matches the weights except for rounding, so the split
/// is as accurate at a few requests a second as at many. Not thread-safe.
class WeightedRoundRobin
{
public:
    /// @param random chooses the start within the cycle, so that several instances do not run in lockstep
    WeightedRoundRobin(std::vector<double> weights, Random &random);

    /// Returns the index of the destination for the next request. A destination of weight 0 is never chosen.
    std::size_t next();
    const std::vector<double> &weights() const
    {
        return m_weights;
    }

private:
    std::vector<double> m_weights;
    std::vector<double> m_credit;
    double m_total = 0;
};

} // namespace mustardpond
