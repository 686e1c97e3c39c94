#include "decision/lenderlease.h"

#include "decision/quotalenders.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t VOTERS = 7;
constexpr Millis REPLACEMENT_MEMORY{600000};
/// By which the reports of one replacement differ: the transit of replies, and voters that were asked one after
/// another.
constexpr Millis REPORT_JITTER{300};
constexpr Millis CLOCK_MARGIN{200}; ///< for the transit of votes and for clocks that drift apart

} // namespace

std::set<std::string> lenderVoters(const std::set<std::string> &known)
{
    std::vector<std::string> ranked = rankLenders({}, known);
    ranked.resize(std::min(ranked.size(), VOTERS));
    return {ranked.begin(), ranked.end()};
}

void LenderLease::confirm(Millis sentAt)
{
    m_confirmedAt = m_held ? std::max(m_confirmedAt, sentAt) : sentAt;
    m_held = true;
}

void LenderVotes::deny(const std::string &node, Millis now)
{
    for (auto entry = m_replacedUntil.begin(); entry != m_replacedUntil.end();) {
        entry = now - entry->second > REPLACEMENT_MEMORY ? m_replacedUntil.erase(entry) : std::next(entry);
    }
    m_replacedUntil[node] = now + LENDER_LEASE + CLOCK_MARGIN;
}

bool LenderVotes::denies(const std::string &node, Millis now) const
{
    const auto entry = m_replacedUntil.find(node);
    return entry != m_replacedUntil.end() && now <= entry->second;
}

void LenderVotes::update(const std::set<std::string> &members, Millis now)
{
    for (const std::string &member : m_members) {
        if (members.count(member) == 0) {
            m_missing.insert(member);
        }
    }
    for (auto node = m_missing.begin(); node != m_missing.end();) {
        if (members.count(*node) == 0) {
            ++node;
            continue;
        }
        Millis &until = m_replacedUntil[*node];
        until = std::max(until, now);
        node = m_missing.erase(node);
    }
    m_members = members;
}

std::optional<Millis> LenderVotes::replacedUntil(const std::string &node, Millis now) const
{
    const auto entry = m_replacedUntil.find(node);
    const bool isKnown = entry != m_replacedUntil.end() && now - entry->second <= REPLACEMENT_MEMORY;
    return isKnown ? std::optional<Millis>(entry->second) : std::nullopt;
}

void LenderTerm::onReplaced(Millis ended)
{
    if (ended - m_since > REPORT_JITTER) {
        m_since = ended;
    }
}

} // namespace mustardpond
