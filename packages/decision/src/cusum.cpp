#include "decision/cusum.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double LEAST_PEER_SHARE = 0.02;
constexpr double GREATEST_PEER_SHARE = 0.95;
constexpr double LEAST_FAILING_SHARE = 0.5;
constexpr double GREATEST_SCORE = 40;

} // namespace

void Cusum::add(bool bad, double peerBadShare)
{
    const double healthy = std::clamp(peerBadShare, LEAST_PEER_SHARE, GREATEST_PEER_SHARE);
    const double failing = std::max(LEAST_FAILING_SHARE, (1 + healthy) / 2);
    const double step = bad ? std::log(failing / healthy) : std::log((1 - failing) / (1 - healthy));
    m_score = std::clamp(m_score + step, 0.0, GREATEST_SCORE);
}

} // namespace mustardpond
