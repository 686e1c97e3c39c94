#include "lenderelection.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis VOTE_TIMEOUT{100}; ///< also for renewing a lease; routers wait 150 ms for a reply
constexpr Millis PROBE_TIMEOUT{70}; ///< of a voter that tries to reach a lender
constexpr Millis VOTE_INTERVAL{200}; ///< after a vote without success

/// Returns how many members have answered and agree, which their reply shows by not being "unavailable".
std::size_t countVotes(const QuotaPeers::Replies &replies)
{
    return static_cast<std::size_t>(std::count_if(
        replies.begin(), replies.end(), [](const auto &reply) { return reply.has_value() && !reply->unavailable; }));
}

bool anyReaches(const QuotaPeers::Replies &replies)
{
    return std::any_of(replies.begin(), replies.end(),
                       [](const auto &reply) { return reply.has_value() && reply->unavailable; });
}

} // namespace

void LenderElection::update(std::shared_ptr<const QuotaDirectory> directory)
{
    m_directory = std::move(directory);
    const Millis now = m_clock.now();
    if (!m_countsRegistered && m_directory->registered()) {
        m_countsRegistered = true;
        m_majority.addRegistered(m_directory->registered()->neighbours, now);
    }
    m_votes.update(m_directory->membersOf(m_directory->dataCentre()), now);
    m_majority.update(m_directory->aliveNeighbours(), m_directory->leftNeighbours(), now);
    for (auto entry = m_substitutions.begin(); entry != m_substitutions.end();) {
        const bool ended = !entry->second.voting && !m_directory->contains(entry->first);
        entry = ended ? m_substitutions.erase(entry) : std::next(entry);
    }
}

bool LenderElection::holdsLease(const Yield &yield)
{
    const Millis now = m_clock.now();
    if (m_lease.isDue(now) && !m_renewing) {
        m_renewing = true;
        asio::spawn(m_context, [this](const Yield &own) { renewLease(own); });
    }
    if (!m_lease.isValid(now) && m_renewing) {
        m_renewed.wait(VOTE_TIMEOUT, yield);
    }
    return m_lease.isValid(m_clock.now());
}

void LenderElection::renewLease(const Yield &yield)
{
    const Millis sentAt = m_clock.now();
    const auto voters = lenderVoters(m_majority.known(sentAt));
    const std::string &self = m_directory->self();
    const std::size_t own = voters.count(self);
    std::vector<std::string> addresses;
    for (const std::string &voter : voters) {
        if (voter != self && m_directory->contains(voter)) {
            addresses.push_back(m_directory->addressOf(voter));
        }
    }
    bool confirmed = isMajority(own, voters.size());
    if (!confirmed) {
        wire::QuotaRequestT question;
        question.organisation = self;
        const auto isEnough = [&](const QuotaPeers::Replies &replies) {
            return isMajority(own + countVotes(replies), voters.size());
        };
        const QuotaPeers::Replies replies = m_peers.askAll(addresses, question, VOTE_TIMEOUT, isEnough, yield);
        confirmed = isEnough(replies);
        learnTerm(replies);
    }
    if (confirmed) {
        m_lease.confirm(sentAt);
    }
    m_renewing = false;
    m_renewed.notifyAll();
}

void LenderElection::learnTerm(const QuotaPeers::Replies &replies)
{
    const Millis now = m_clock.now();
    for (const auto &reply : replies) {
        if (reply && !reply->unavailable && reply->replacedMs >= 0) {
            m_term.onReplaced(now - Millis(reply->replacedMs));
        }
    }
}

std::optional<Millis> LenderElection::substitutionOf(const std::string &lender, const Yield &yield)
{
    const Millis now = m_clock.now();
    Substitution &substitution = m_substitutions[lender];
    const bool due = !substitution.isValid(now) || substitution.validUntil - now < LENDER_LEASE * 0.5;
    if (due && !substitution.voting && now >= substitution.nextVote) {
        substitution.voting = true;
        asio::spawn(m_context, [this, lender](const Yield &own) { vote(lender, own); });
    }
    if (!substitution.isValid(now) && substitution.voting) {
        m_voted.wait(VOTE_TIMEOUT, yield);
    }
    const auto current = m_substitutions.find(lender);
    const bool valid = current != m_substitutions.end() && current->second.isValid(m_clock.now());
    return valid ? current->second.since : std::nullopt;
}

bool LenderElection::isSubstitutionOf(const std::string &lender) const
{
    const auto found = m_substitutions.find(lender);
    return found != m_substitutions.end() && (found->second.voting || found->second.isValid(m_clock.now()));
}

void LenderElection::vote(const std::string &lender, const Yield &yield)
{
    const Millis sentAt = m_clock.now();
    const auto voters = lenderVoters(m_majority.known(sentAt));
    std::vector<std::string> addresses;
    for (const std::string &voter : voters) {
        if (voter != lender && m_directory->contains(voter)) {
            addresses.push_back(m_directory->addressOf(voter));
        }
    }
    wire::QuotaRequestT question;
    question.unreachable = lender;
    const auto isConfirmed = [&](const QuotaPeers::Replies &replies) {
        return isMajority(countVotes(replies), voters.size());
    };
    const auto isEnough = [&](const QuotaPeers::Replies &replies) {
        return anyReaches(replies) || isConfirmed(replies);
    };
    const QuotaPeers::Replies replies = m_peers.askAll(addresses, question, VOTE_TIMEOUT, isEnough, yield);
    finishVote(lender, anyReaches(replies), isConfirmed(replies), sentAt);
}

void LenderElection::finishVote(const std::string &lender, bool reached, bool confirmed, Millis sentAt)
{
    const Millis now = m_clock.now();
    Substitution &substitution = m_substitutions[lender];
    const bool before = substitution.since.has_value();
    if (confirmed && !reached) {
        substitution.validUntil = sentAt + LENDER_LEASE;
        // By then the lease of the lender has ended, as a majority confirms it no more.
        substitution.since = substitution.since.value_or(now + LENDER_LEASE);
    } else {
        substitution.since.reset();
        substitution.nextVote = now + VOTE_INTERVAL;
    }
    if (before != substitution.since.has_value()) {
        logEvent(Event::LenderSubstituted, {{"lender", lender}, {"lends", !before}});
    }
    substitution.voting = false;
    m_voted.notifyAll();
}

wire::QuotaReplyT LenderElection::answer(const wire::QuotaRequestT &question, const Yield &yield)
{
    wire::QuotaReplyT reply;
    reply.request = question.request;
    if (question.unreachable.empty()) {
        const std::string &lender = question.organisation;
        const Millis now = m_clock.now();
        reply.unavailable = !m_directory->contains(lender) || m_votes.denies(lender, now);
        if (const auto replacedUntil = m_votes.replacedUntil(lender, now)) {
            reply.replacedMs = std::max(0.0, (now - *replacedUntil).value);
        }
        return reply;
    }
    const std::string &lender = question.unreachable;
    wire::QuotaRequestT probe;
    probe.organisation = m_directory->self();
    const std::string address = m_directory->addressOf(lender);
    reply.unavailable = !address.empty() && m_peers.ask<wire::QuotaReplyT>(address, probe, PROBE_TIMEOUT, yield);
    if (!reply.unavailable) {
        m_votes.deny(lender, m_clock.now());
    }
    return reply;
}

} // namespace mustardpond
