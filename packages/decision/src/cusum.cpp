#include "decision/cusum.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double LEAST_PEER_SHARE = 0.02;
constexpr double GREATEST_PEER_SHARE = 0.95;
constexpr double LEAST_FAILING_SHARE = 0.5;
constexpr double GREATEST_BAD = 20; ///< bounds how long recovery takes to show
constexpr double HELD_SHARE_FADING = 0.95; ///< per outcome

} // namespace

void Cusum::add(bool bad, double peerBadShare)
{
    m_bad = std::min(GREATEST_BAD, m_bad + (bad ? 1 : 0));
    m_good += bad ? 0 : 1;
    m_heldPeerShare = std::max(peerBadShare, m_heldPeerShare * HELD_SHARE_FADING);
    if (score(peerBadShare) <= 0) {
        clear();
    }
}

double Cusum::score(double peerBadShare) const
{
    const double healthy = std::clamp(std::max(peerBadShare, m_heldPeerShare), LEAST_PEER_SHARE, GREATEST_PEER_SHARE);
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
