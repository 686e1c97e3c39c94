#include "membership/proofexchange.h"

#include <algorithm>
#include <limits>

namespace mustardpond {

ProofExchange::ProofExchange(Millis maxAge, double spread)
    : m_maxAge(maxAge)
    , m_freshness(maxAge, spread)
{
}

Millis ProofExchange::nextDue() const
{
    return m_needed ? m_freshness.nextQuestion() : Millis(std::numeric_limits<double>::infinity());
}

std::optional<ProofPeer> ProofExchange::takeQuestion(Millis now)
{
    return m_needed ? m_freshness.takeQuestion(now) : std::nullopt;
}

void ProofExchange::onAsked(std::uint64_t number, const std::string &target, Millis now)
{
    for (auto question = m_questions.begin(); question != m_questions.end();) {
        // An answer to a question of this age proves nothing that still counts.
        question = now - question->second.sentAt > m_maxAge ? m_questions.erase(question) : std::next(question);
    }
    m_questions[number] = {target, now};
}

void ProofExchange::onAnswer(const wire::AckT &ack, Millis now)
{
    const auto question = m_questions.find(ack.number);
    if (question == m_questions.end() || question->second.target != ack.target) {
        return;
    }
    add(ack, question->second.sentAt, now);
    m_questions.erase(question);
}

void ProofExchange::add(const wire::AckT &ack, Millis sentAt, Millis now)
{
    if (ack.proofAgeMs >= 0) {
        const ObjectVersion version(ack.provedEdition, ack.provedEra, ack.provedVersion);
        m_freshness.add({version, sentAt - Millis(ack.proofAgeMs)}, now);
    }
}

void ProofExchange::writeProof(wire::AckT &ack, Millis now) const
{
    const auto &proof = m_freshness.latest();
    if (proof && now - proof->at <= m_maxAge) {
        ack.provedVersion = proof->version.revision;
        ack.provedEdition = proof->version.edition;
        ack.provedEra = proof->version.era;
        ack.proofAgeMs = std::max(0.0, (now - proof->at).value);
    }
}

} // namespace mustardpond
