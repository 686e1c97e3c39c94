/// Splits requests among parts in proportion to their weights.
#pragma once

#include "foundation/random.h"

#include <cstddef>
#include <vector>

namespace mustardpond {

/// Smooth weighted round robin: every stretch of requests keeps the proportions as well as whole numbers can, so a few
/// requests a second come as near to the weights as many do. Not thread-safe.
class WeightedRoundRobin
{
public:
    /// @param random where in the cycle to start, so that many splitters do not move in step
    WeightedRoundRobin(std::vector<double> weights, Random &random);

    /// The part that takes the next request. A part without weight is never chosen.
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
