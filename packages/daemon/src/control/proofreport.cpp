#include "proofreport.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace mustardpond {

namespace {

/// The request path may use a proof that is older by this than the newest one; handing over each would wake it for
/// nothing.
constexpr Millis MIN_ADVANCE{200};
constexpr Millis EXPIRY_MARGIN{1}; ///< so that the update after the expiry finds the proof invalid

} // namespace

ProofReport::ProofReport(Millis maxAge, Handler handler)
    : m_maxAge(maxAge)
    , m_handler(std::move(handler))
{
}

bool ProofReport::isAccepted(Millis now) const
{
    return m_handedOver && isProofValid(m_handedOver->at, now, m_maxAge);
}

void ProofReport::update(const ConfigFreshness &freshness, bool needed, Millis now)
{
    const auto &usable = freshness.usable();
    const bool advances = usable
        && (!m_handedOver || usable->at - m_handedOver->at >= MIN_ADVANCE || usable->version != m_handedOver->version
            || (!isAccepted(now) && isProofValid(usable->at, now, m_maxAge)));
    if (advances) {
        m_handedOver = usable;
        m_handler(*usable);
    }
    if (needed && !m_needed) {
        m_neededSince = now;
        m_hadProof = false;
    }
    m_needed = needed;
    const bool accepted = !needed || isAccepted(now);
    m_hadProof = m_hadProof || accepted;
    if (accepted && m_logged) {
        m_logged = false;
        logEvent(Event::KeysAccepted, {{"ageMs", m_handedOver ? (now - m_handedOver->at).value : -1}});
    }
    // A process that has just started needs a moment for its first proof.
    if (!accepted && !m_logged && (m_hadProof || now - m_neededSince >= m_maxAge)) {
        m_logged = true;
        logRefused(freshness, now);
    }
}

void ProofReport::logRefused(const ConfigFreshness &freshness, Millis now) const
{
    nlohmann::json fields = {{"ageMs", m_handedOver ? (now - m_handedOver->at).value : -1},
                             {"version", m_handedOver ? m_handedOver->version.revision : 0}};
    if (freshness.isMissingVersion()) {
        fields["missingVersion"] = freshness.latest()->version.revision;
    }
    logEvent(Event::KeysRefused, fields);
}

Millis ProofReport::nextDue() const
{
    if (!m_needed || m_logged) {
        return Millis(std::numeric_limits<double>::infinity());
    }
    return (m_hadProof && m_handedOver ? m_handedOver->at : m_neededSince) + m_maxAge + EXPIRY_MARGIN;
}

} // namespace mustardpond
