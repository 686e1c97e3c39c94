#include "decision/cusum.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double MIN_PEER_BAD_SHARE = 0.02;
constexpr double MAX_PEER_BAD_SHARE = 0.95;
constexpr double MIN_FAILING_BAD_SHARE = 0.5;
constexpr double MAX_BAD_OUTCOMES = 20; ///< bounds the time until a recovery is visible
constexpr double DECAY_FACTOR = 0.98; ///< per outcome
constexpr double SHARED_CAUSE_BAD_SHARE = 0.2; ///< of bad outcomes; above it the cause may be shared

} // namespace

void Cusum::add(bool bad, double peerBadShare)
{
    if (m_peakPeerBadShare > std::max(peerBadShare, SHARED_CAUSE_BAD_SHARE)) {
        // Outcomes of a period in which the peers failed must decay as fast as the peak share of that period.
        m_bad *= DECAY_FACTOR;
        m_good *= DECAY_FACTOR;
    }
    m_peakPeerBadShare = std::max(peerBadShare, m_peakPeerBadShare * DECAY_FACTOR);
    m_bad = std::min(MAX_BAD_OUTCOMES, m_bad + (bad ? 1 : 0));
    m_good += bad ? 0 : 1;
    if (score(peerBadShare) <= 0) {
        clear();
    }
}

double Cusum::score(double peerBadShare) const
{
    const double peakBadShare = std::max(peerBadShare, m_peakPeerBadShare);
    // Reports of a shared cause lag behind the outcomes counted here, so the share is assumed to be still growing.
    const double growth = std::max(0.0, peakBadShare - SHARED_CAUSE_BAD_SHARE);
    const double healthyBadShare = std::clamp(peakBadShare + growth, MIN_PEER_BAD_SHARE, MAX_PEER_BAD_SHARE);
    const double failingBadShare = std::max(MIN_FAILING_BAD_SHARE, (1 + healthyBadShare) / 2);
    return m_bad * std::log(failingBadShare / healthyBadShare)
        + m_good * std::log((1 - failingBadShare) / (1 - healthyBadShare));
}

void Cusum::clear()
{
    m_bad = 0;
    m_good = 0;
    m_peakPeerBadShare = 0;
}

} // namespace mustardpond
