/// The exchanges by which the members of a data centre agree on who may lend.
#pragma once

#include "decision/lenderlease.h"
#include "decision/quotalenders.h"
#include "quotadirectory.h"
#include "quotapeers.h"
#include "sharedwait.h"

#include <map>
#include <optional>
#include <string>

namespace mustardpond {

/// Keeps the lease of this process as a lender, takes the place of lenders that cannot be reached, and votes on others.
/// Not thread-safe.
class LenderElection
{
public:
    LenderElection(asio::io_context &context, const Clock &clock, QuotaPeers &peers)
        : m_context(context)
        , m_clock(clock)
        , m_peers(peers)
        , m_renewed(context)
        , m_voted(context)
    {
    }

    void update(std::shared_ptr<const QuotaDirectory> directory);
    /// Whether more than half of the data centre is alive by this member's view.
    bool seesMajority() const
    {
        return m_majority.holds(m_clock.now());
    }
    /// Whether a majority of the voters has confirmed this process within the lease. Renews the lease in time; waits
    /// only if it has ended.
    bool holdsLease(const Yield &yield);
    /// Returns until when another member may have admitted requests in place of this process; zero if none is known to
    /// have. To be asked while the lease is held.
    Millis replacedUntil() const
    {
        return m_term.since();
    }
    /// Returns from when on this process may admit requests in place of a lender that no voter reaches; nothing while
    /// it may not.
    std::optional<Millis> substitutionOf(const std::string &lender, const Yield &yield);
    /// Whether this process admits requests in place of the lender, or asks the voters whether it may.
    bool isSubstitutionOf(const std::string &lender) const;
    /// Answers a question of another member's election (QuotaRequest with count 0).
    wire::QuotaReplyT answer(const wire::QuotaRequestT &question, const Yield &yield);

private:
    struct Substitution {
        std::optional<Millis> since;
        Millis validUntil;
        Millis nextVote;
        bool voting = false;
        bool isValid(Millis now) const
        {
            return since && now <= validUntil;
        }
    };

    void renewLease(const Yield &yield);
    /// Learns from the replies of voters whether others have lent in place of this process.
    void learnTerm(const QuotaPeers::Replies &replies);
    void vote(const std::string &lender, const Yield &yield);
    void finishVote(const std::string &lender, bool reached, bool confirmed, Millis sentAt);

    asio::io_context &m_context;
    const Clock &m_clock;
    QuotaPeers &m_peers;
    std::shared_ptr<const QuotaDirectory> m_directory = std::make_shared<QuotaDirectory>();
    LenderMajority m_majority;
    bool m_countsRegistered = false; ///< whether the hosts that the store listed have been added
    LenderLease m_lease;
    LenderTerm m_term;
    LenderVotes m_votes;
    bool m_renewing = false;
    SharedWait m_renewed;
    std::map<std::string, Substitution> m_substitutions; ///< by lender
    SharedWait m_voted;
};

} // namespace mustardpond
