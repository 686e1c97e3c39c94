#include "decision/weightedroundrobin.h"

#include <algorithm>
#include <numeric>

namespace mustardpond {

WeightedRoundRobin::WeightedRoundRobin(std::vector<double> weights, Random &random)
    : m_weights(std::move(weights))
    , m_credit(m_weights.size(), 0)
    , m_total(std::accumulate(m_weights.begin(), m_weights.end(), 0.0))
{
    // The initial credits sum to zero, as they do after any number of requests.
    const double phase = random.uniform();
    for (std::size_t index = 0; index + 1 < m_weights.size(); ++index) {
        m_credit[index] = (phase - 0.5) * m_weights[index];
        m_credit.back() -= m_credit[index];
    }
}

std::size_t WeightedRoundRobin::next()
{
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < m_weights.size(); ++index) {
        m_credit[index] += m_weights[index];
        const bool better = m_weights[index] > 0 && (m_weights[chosen] <= 0 || m_credit[index] > m_credit[chosen]);
        chosen = better ? index : chosen;
    }
    m_credit[chosen] -= m_total;
    return chosen;
}

} // namespace mustardpond
