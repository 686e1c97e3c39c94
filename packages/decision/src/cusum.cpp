#include "decision/cusum.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double LEAST_PEER_SHARE = 0.02;
constexpr double GREATEST_PEER_SHARE = 0.95;
constexpr double LEAST_FAILING_SHARE = 0.5;
constexpr double GREATEST_BAD = 20; ///< bounds how long recovery takes to show
constexpr double HELD_SHARE_FADING = 0.98; ///< per outcome
constexpr double SHARED_PEER_SHARE = 0.2; ///< of bad outcomes; above it the cause may be shared

} // namespace

void Cusum::add(bool bad, double peerBadShare)
{
    if (m_heldPeerShare > std::max(peerBadShare, SHARED_PEER_SHARE)) {
        // Outcomes of a time in which the peers did badly must not outlive the memory of that.
        m_bad *= HELD_SHARE_FADING;
        m_good *= HELD_SHARE_FADING;
    }
    m_heldPeerShare = std::max(peerBadShare, m_heldPeerShare * HELD_SHARE_FADING);
    m_bad = std::min(GREATEST_BAD, m_bad + (bad ? 1 : 0));
    m_good += bad ? 0 : 1;
    if (score(peerBadShare) <= 0) {
        clear();
    }
}

double Cusum::score(double peerBadShare) const
{
    const double known = std::max(peerBadShare, m_heldPeerShare);
    // News of a shared cause is behind the outcomes here, so the share is taken to be still growing.
    const double growth = std::max(0.0, known - SHARED_PEER_SHARE);
    const double healthy = std::clamp(known + growth, LEAST_PEER_SHARE, GREATEST_PEER_SHARE);
    const double failing = std::max(LEAST_FAILING_SHARE, (1 + healthy) / 2);
    return m_bad * std::log(failing / healthy) + m_good * std::log((1 - failing) / (1 - healthy));
}

void Cusum::clear()
{
    m_bad = 0;
    m_good = 0;
    m_heldPeerShare = 0;
}

} // namespace mustardpond
