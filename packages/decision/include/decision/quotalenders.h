/// The choice of the member that holds an organisation's quota in a data centre, and since when it has.
#pragma once

#include "foundation/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardpond {

/// Returns the node names in the order in which they become the lender of an organisation (rendezvous hashing): when
/// one leaves, only its own organisations move, and they spread over all others.
std::vector<std::string> rankLenders(const std::string &organisation, const std::set<std::string> &nodes);

/// Returns the first in that order, without sorting all; empty without nodes.
std::string firstLender(const std::string &organisation, const std::set<std::string> &nodes);

/// Since when this process has been the lender of an organisation, for buckets that are made on the first request: the
/// bucket of the lender before may have admitted requests until then. It keeps the names of members that have left
/// instead of state for each of hundreds of thousands of organisations.
class LenderTerms
{
public:
    LenderTerms(std::string self, Millis startedAt)
        : m_self(std::move(self))
        , m_floor(startedAt)
    {
    }

    /// Takes over the data centre's members that accept requests. All terms start when the first others become known.
    void update(std::set<std::string> members, Millis now);
    /// Starts all terms now, as the process may have missed changes.
    void restart(Millis now)
    {
        m_floor = now;
    }
    /// Whether this process is the lender if the ignored member is not counted.
    bool isLender(const std::string &organisation, const std::string &ignored = {}) const;
    /// Returns the lender if the ignored member is not counted; empty if there is none.
    std::string lenderOf(const std::string &organisation, const std::string &ignored = {}) const;
    /// Returns since when this process has been the lender, provided that it is now.
    Millis since(const std::string &organisation) const;

private:
    std::string m_self;
    Millis m_floor; ///< start of all terms at the earliest
    std::set<std::string> m_members;
    std::map<std::string, Millis> m_leftAt; ///< by node that accepted requests before
};

/// Whether more than half of the node names that were alive within the last 10 s still are. A host that is cut off from
/// its data centre would take over all organisations otherwise, and admit their limits a second time. A host that has
/// just started has seen nobody alive, so it counts the hosts that the store lists.
class LenderMajority
{
public:
    /// @param alive nodes of the data centre that are alive now
    /// @param left nodes that have left as planned, which do not count any more
    void update(const std::set<std::string> &alive, const std::set<std::string> &left, Millis now);
    /// Counts nodes as if they had been alive until now. To be called before update().
    void addRegistered(const std::set<std::string> &nodes, Millis now);
    bool holds(Millis now) const;
    /// Returns the nodes that are alive or were within the last 10 s.
    std::set<std::string> known(Millis now) const;

private:
    std::set<std::string> m_alive;
    std::map<std::string, Millis> m_lastAlive; ///< by node that is not alive any more
};

} // namespace mustardpond
