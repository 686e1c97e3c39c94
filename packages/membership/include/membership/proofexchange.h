/// The exchange of proofs that the configuration is the newest, carried by pings and their answers.
#pragma once

#include "decision/configfreshness.h"
#include "wire/generated/frames_generated.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

/// One node's questions and answers. Several questions may be outstanding at a time; they are kept apart from the
/// probe of the failure detector, so that an unanswered question makes no member a suspect. Not thread-safe.
class ProofExchange
{
public:
    /// @param spread in [0, 1), see ConfigFreshness
    ProofExchange(Millis maxAge, double spread);

    ConfigFreshness &freshness()
    {
        return m_freshness;
    }
    const ConfigFreshness &freshness() const
    {
        return m_freshness;
    }
    /// Sets whether this node needs proofs. Otherwise it asks nobody, but still answers.
    void setNeeded(bool needed)
    {
        m_needed = needed;
    }
    /// Sets the incarnations of the members of the data centre that read the store.
    void setWatchers(std::vector<std::string> keys)
    {
        m_watchers = std::move(keys);
    }
    const std::vector<std::string> &watchers() const
    {
        return m_watchers;
    }

    Millis nextDue() const;
    /// Returns whom to ask, if a question is due.
    std::optional<ProofPeer> takeQuestion(Millis now);
    /// Returns a number that increases with each call, for asking peers of a kind in turn.
    std::size_t nextTurn()
    {
        return m_turn++;
    }
    /// Remembers a question sent in the ping with this number to a member.
    void onAsked(std::uint64_t number, const std::string &target, Millis now);
    /// Takes the proof of an answer to an outstanding question. Other answers, such as late or repeated ones, are
    /// ignored.
    void onAnswer(const wire::AckT &ack, Millis now);
    /// Takes the proof of an answer to a ping that was sent at the given time.
    void add(const wire::AckT &ack, Millis sentAt, Millis now);
    /// Adds the latest proof, if there is one.
    void writeProof(wire::AckT &ack, Millis now) const;

private:
    struct Question {
        std::string target;
        Millis sentAt;
    };

    Millis m_maxAge;
    ConfigFreshness m_freshness;
    bool m_needed = false;
    std::vector<std::string> m_watchers;
    std::size_t m_turn = 0;
    std::map<std::uint64_t, Question> m_questions; ///< by the number of the ping; not yet answered
};

} // namespace mustardpond
