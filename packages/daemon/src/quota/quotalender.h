/// The lender of tokens of organisations' quotas for its data centre.
#pragma once

#include "config/daemonsettings.h"
#include "decision/quotaaccount.h"
#include "lenderelection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace mustardpond {

/// Grants tokens to the routers of its data centre, borrows from the lenders of other data centres, and lends to them.
/// Not thread-safe.
class QuotaLender
{
public:
    /// Returns the organisation of that name from the configuration in force; null if there is none.
    using OrganisationSource = std::function<std::shared_ptr<const Organisation>(const std::string &name)>;
    /// Whether this process has a valid proof that its configuration is the newest.
    using ProofCheck = std::function<bool()>;

    QuotaLender(asio::io_context &context, const Clock &clock, const DaemonSettings &settings);

    void setOrganisations(OrganisationSource source)
    {
        m_organisations = std::move(source);
    }
    void setProofCheck(ProofCheck check)
    {
        m_hasProof = std::move(check);
    }
    void update(const FleetView &view);

    wire::QuotaReplyT lend(const wire::QuotaRequestT &request, const Yield &yield);
    /// Takes back tokens of requests that have not run.
    void takeBack(const wire::QuotaReturnT &returned);
    wire::QuotaLoanT lendTo(const wire::QuotaBorrowT &request, const Yield &yield);

    const QuotaDirectory &directory() const
    {
        return *m_directory;
    }
    /// Returns the lender of an organisation in this data centre by this member's view, not counting the ignored one.
    std::string lenderOf(const std::string &organisation, const std::string &ignored = {}) const
    {
        return m_terms.lenderOf(organisation, ignored);
    }
    QuotaPeers &peers()
    {
        return m_peers;
    }

private:
    struct Entry {
        Entry(asio::io_context &context, QuotaAccount newAccount, Millis emptySince)
            : account(newAccount)
            , since(emptySince)
            , loanArrived(context)
        {
        }
        QuotaAccount account;
        Millis since; ///< when the account counted as empty
        unsigned waiting = 0; ///< requests that wait for a loan
        bool borrowing = false;
        Millis nextRound;
        unsigned rounds = 0;
        SharedWait loanArrived;
    };
    using EntryPointer = std::shared_ptr<Entry>;

    /// Passes a request on to a lender that only its router cannot reach. Returns nothing if there is no reply.
    std::optional<wire::QuotaReplyT> relay(const wire::QuotaRequestT &request, const Yield &yield);
    bool mayLend(const std::string &organisation);
    void reportUnavailable(const std::string &organisation, const char *cause);
    /// Returns since when this process has been the only lender of an organisation, provided that it holds the lease.
    Millis termOf(const std::string &organisation) const;
    EntryPointer entryOf(const Organisation &organisation, Millis since);
    QuotaShare shareOf(const Organisation &organisation) const;
    void forgetUnused(Millis now);
    void grant(Entry &entry, unsigned count, wire::QuotaReplyT &reply);
    void waitForLoan(const EntryPointer &entry, const std::string &organisation, wire::QuotaReplyT &reply,
                     const Yield &yield);
    void borrow(const EntryPointer &entry, const std::string &organisation, const Yield &yield);
    /// Returns the lenders of the other data centres, those in the own region first.
    std::vector<std::string> donorsOf(const std::string &organisation, unsigned round) const;

    asio::io_context &m_context;
    const Clock &m_clock;
    const DaemonSettings &m_settings;
    OrganisationSource m_organisations;
    ProofCheck m_hasProof;
    std::shared_ptr<const QuotaDirectory> m_directory = std::make_shared<QuotaDirectory>();
    QuotaPeers m_peers;
    LenderElection m_election;
    LenderTerms m_terms;
    std::unordered_map<std::string, EntryPointer> m_entries; ///< of active organisations
    Millis m_nextSweep;
    Millis m_nextReport;
};

} // namespace mustardpond
