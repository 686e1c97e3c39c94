#include "decision/lenderlease.h"

#include "decision/quotalenders.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t VOTERS = 7;
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
    for (auto entry = m_deniedUntil.begin(); entry != m_deniedUntil.end();) {
        entry = entry->second < now ? m_deniedUntil.erase(entry) : std::next(entry);
    }
    m_deniedUntil[node] = now + LENDER_LEASE + CLOCK_MARGIN;
}

bool LenderVotes::denies(const std::string &node, Millis now) const
{
    const auto entry = m_deniedUntil.find(node);
    return entry != m_deniedUntil.end() && now <= entry->second;
}

} // namespace mustardpond
