/// Leases that keep two members of a data centre from lending tokens of the same organisation at the same time.
#pragma once

#include "foundation/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace mustardpond {

/// How long a lender may lend after it has asked the voters.
constexpr Millis LENDER_LEASE{1000};

/// Returns the members of a data centre that confirm lenders: the first seven by rendezvous hash, so that the cost does
/// not grow with the data centre. Two majorities of them have a member in common.
std::set<std::string> lenderVoters(const std::set<std::string> &known);

/// Whether so many of the voters are a majority.
constexpr bool isMajority(std::size_t votes, std::size_t voters)
{
    return 2 * votes > voters;
}

/// The right of a lender to lend. It answers a lender that is cut off or suspended while others take over: without the
/// lease it would go on lending to the callers on its side. Gossip takes up to n/2 + 3 s to find that out in a data
/// centre of n hosts, in which a limit would be admitted twice.
class LenderLease
{
public:
    /// @param sentAt when the voters that confirmed it were asked
    void confirm(Millis sentAt);
    bool isValid(Millis now) const
    {
        return m_held && now - m_confirmedAt <= LENDER_LEASE;
    }
    /// Whether to ask the voters again, in good time before the lease ends.
    bool isDue(Millis now) const
    {
        return !m_held || now - m_confirmedAt > LENDER_LEASE * 0.5;
    }

private:
    bool m_held = false;
    Millis m_confirmedAt;
};

/// What a voter has promised to members that lend in place of one that the voter could not reach. A member that was
/// suspended does not know that others have lent in its place, so its voters tell it: any two majorities of them have a
/// member in common.
class LenderVotes
{
public:
    /// Confirms the member no more until the lease of the one that takes its place has ended.
    void deny(const std::string &node, Millis now);
    bool denies(const std::string &node, Millis now) const;
    /// Takes over the members that accept requests. Others lend in place of one that is missing.
    void update(const std::set<std::string> &members, Millis now);
    /// Returns the time until which others may have lent in place of the member; nothing if they have not within the
    /// last ten minutes.
    std::optional<Millis> replacedUntil(const std::string &node, Millis now) const;

private:
    std::map<std::string, Millis> m_replacedUntil;
    std::set<std::string> m_members;
    std::set<std::string> m_missing; ///< members before
};

/// Since when a lender has lent without another one in its place, by what its voters tell it.
class LenderTerm
{
public:
    /// @param ended end of the time in which another member may have lent, which varies with the transit of the message
    void onReplaced(Millis ended);
    /// Returns zero if no other member is known to have lent.
    Millis since() const
    {
        return m_since;
    }

private:
    Millis m_since;
};

} // namespace mustardpond
