#include "decision/quotalenders.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace mustardpond {

namespace {

constexpr Millis MAJORITY_MEMORY{10000};
constexpr std::size_t MAX_REMEMBERED_NODES = 1000; ///< bounds the memory where hosts get new names again and again

std::pair<std::uint64_t, std::string> rankOf(const std::string &organisation, const std::string &node)
{
    const std::uint64_t seed = XXH64(organisation.data(), organisation.size(), 0);
    return {XXH64(node.data(), node.size(), seed), node};
}

} // namespace

std::vector<std::string> rankLenders(const std::string &organisation, const std::set<std::string> &nodes)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranks;
    ranks.reserve(nodes.size());
    for (const std::string &node : nodes) {
        ranks.push_back(rankOf(organisation, node));
    }
    std::sort(ranks.rbegin(), ranks.rend());
    std::vector<std::string> names;
    names.reserve(ranks.size());
    for (auto &rank : ranks) {
        names.push_back(std::move(rank.second));
    }
    return names;
}

std::string firstLender(const std::string &organisation, const std::set<std::string> &nodes)
{
    std::pair<std::uint64_t, std::string> first;
    for (const std::string &node : nodes) {
        first = std::max(first, rankOf(organisation, node));
    }
    return first.second;
}

void LenderTerms::update(std::set<std::string> members, Millis now)
{
    for (const std::string &member : m_members) {
        if (members.count(member) == 0) {
            m_leftAt[member] = now;
        }
    }
    if (m_members.size() <= 1 && members.size() > 1) {
        restart(now);
    }
    m_members = std::move(members);
    if (m_leftAt.size() > MAX_REMEMBERED_NODES) {
        m_leftAt.clear();
        restart(now);
    }
}

bool LenderTerms::isLender(const std::string &organisation, const std::string &ignored) const
{
    return lenderOf(organisation, ignored) == m_self;
}

std::string LenderTerms::lenderOf(const std::string &organisation, const std::string &ignored) const
{
    if (m_members.count(ignored) == 0) {
        return firstLender(organisation, m_members);
    }
    std::set<std::string> others = m_members;
    others.erase(ignored);
    return firstLender(organisation, others);
}

Millis LenderTerms::since(const std::string &organisation) const
{
    Millis since = m_floor;
    const auto own = rankOf(organisation, m_self);
    for (const auto &[node, leftAt] : m_leftAt) {
        if (rankOf(organisation, node) > own) {
            since = std::max(since, leftAt);
        }
    }
    return since;
}

void LenderMajority::addRegistered(const std::set<std::string> &nodes, Millis now)
{
    for (const std::string &node : nodes) {
        m_lastAlive.emplace(node, now);
    }
}

void LenderMajority::update(const std::set<std::string> &alive, const std::set<std::string> &left, Millis now)
{
    for (const std::string &node : m_alive) {
        m_lastAlive[node] = now;
    }
    for (auto entry = m_lastAlive.begin(); entry != m_lastAlive.end();) {
        const bool forgotten =
            alive.count(entry->first) > 0 || left.count(entry->first) > 0 || now - entry->second > MAJORITY_MEMORY;
        entry = forgotten ? m_lastAlive.erase(entry) : std::next(entry);
    }
    m_alive = alive;
}

bool LenderMajority::holds(Millis now) const
{
    return 2 * m_alive.size() > known(now).size();
}

std::set<std::string> LenderMajority::known(Millis now) const
{
    std::set<std::string> nodes = m_alive;
    for (const auto &[node, lastAlive] : m_lastAlive) {
        if (now - lastAlive <= MAJORITY_MEMORY) {
            nodes.insert(node);
        }
    }
    return nodes;
}

} // namespace mustardpond
