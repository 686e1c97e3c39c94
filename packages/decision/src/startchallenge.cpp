#include "decision/startchallenge.h"

namespace mustardpond {

namespace {

constexpr int MIN_CLAIMS = 3;
constexpr Millis MIN_DURATION{4000}; ///< an announcement of an ended start may arrive seconds late

} // namespace

bool StartChallenge::onClaim(const Claim &claim, Millis now)
{
    const bool isNew = m_claims == 0 || claim.born != m_born || claim.knownHeardAt > m_since;
    if (isNew) {
        m_born = claim.born;
        m_sequence = claim.sequence;
        m_claims = 1;
        m_since = now;
        return false;
    }
    if (claim.sequence <= m_sequence) {
        return false; // a repeated or reordered announcement shows no progress
    }
    m_sequence = claim.sequence;
    ++m_claims;
    return m_claims >= MIN_CLAIMS && now - m_since >= MIN_DURATION;
}

} // namespace mustardpond
