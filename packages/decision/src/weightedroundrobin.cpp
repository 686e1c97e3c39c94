#include "decision/weightedroundrobin.h"

#include <algorithm>
#include <numeric>

namespace mustardpond {

WeightedRoundRobin::WeightedRoundRobin(std::vector<double> weights, Random &random)
    : m_weights(std::move(weights))
    , m_credit(m_weights.size(), 0)
    , m_total(std::accumulate(m_weights.begin(), m_weights.end(), 0.0))
{
    // Credits that sum to zero, as after some number of turns.
    const double phase = random.uniform();
    for (std::size_t part = 0; part + 1 < m_weights.size(); ++part) {
        m_credit[part] = (phase - 0.5) * m_weights[part];
        m_credit.back() -= m_credit[part];
    }
}

std::size_t WeightedRoundRobin::next()
{
    std::size_t chosen = 0;
    for (std::size_t part = 0; part < m_weights.size(); ++part) {
        m_credit[part] += m_weights[part];
        const bool better = m_weights[part] > 0 && (m_weights[chosen] <= 0 || m_credit[part] > m_credit[chosen]);
        chosen = better ? part : chosen;
    }
    m_credit[chosen] -= m_total;
    return chosen;
}

} // namespace mustardpond
