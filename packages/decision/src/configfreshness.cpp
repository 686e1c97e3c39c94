#include "decision/configfreshness.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis CLOCK_DRIFT{100}; ///< between two hosts over the life of a proof
constexpr Millis USUAL_MAX_AGE{5000}; ///< that the following times belong to; they shrink with a smaller one
constexpr Millis QUESTION_INTERVAL{1000};
constexpr Millis URGENT_AGE{2000};
constexpr Millis URGENT_INTERVAL{300};
constexpr unsigned PEER_KINDS = 3;

} // namespace

bool isProofValid(const std::optional<Millis> &provedAt, Millis now, Millis maxAge)
{
    return provedAt && now - *provedAt <= maxAge - CLOCK_DRIFT;
}

ConfigFreshness::ConfigFreshness(Millis maxAge, double spread)
    : m_scale(std::min(1.0, maxAge / USUAL_MAX_AGE))
    , m_spread(spread)
{
}

void ConfigFreshness::setApplied(const ObjectVersion &version)
{
    m_applied = version;
    if (m_usable && supersedes(m_usable->version, m_applied)) {
        m_usable.reset();
    }
    if (m_latest && !supersedes(m_latest->version, m_applied)) {
        m_usable = m_latest;
    }
}

void ConfigFreshness::add(const FreshnessProof &proof, Millis now)
{
    if (!proof.version.isKnown() || proof.at > now) {
        return;
    }
    if (!m_latest || proof.at > m_latest->at) {
        m_latest = proof;
    }
    if (!supersedes(proof.version, m_applied) && (!m_usable || proof.at > m_usable->at)) {
        m_usable = proof;
        m_rotation = isUrgent(now) ? m_rotation : 0;
    }
}

Millis ConfigFreshness::urgentFrom() const
{
    // A watcher's own watch usually ends in this time, and answers the question without a peer.
    const double delay = m_watcher ? 1 : m_spread;
    return m_usable ? m_usable->at + (URGENT_AGE + URGENT_INTERVAL * delay) * m_scale : Millis();
}

bool ConfigFreshness::isUrgent(Millis now) const
{
    return !m_usable || now >= urgentFrom();
}

Millis ConfigFreshness::nextQuestion() const
{
    if (!m_askedAt) {
        return m_watcher ? urgentFrom() : Millis();
    }
    const Millis urgent = std::max(urgentFrom(), *m_askedAt + URGENT_INTERVAL * m_scale);
    return m_watcher ? urgent : std::min(urgent, *m_askedAt + QUESTION_INTERVAL * m_scale);
}

std::optional<ProofPeer> ConfigFreshness::takeQuestion(Millis now)
{
    if (now < nextQuestion()) {
        return std::nullopt;
    }
    m_askedAt = now;
    if (!isUrgent(now)) {
        return ProofPeer::Watcher;
    }
    return static_cast<ProofPeer>(m_rotation++ % PEER_KINDS);
}

} // namespace mustardpond
