#include "quotalender.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis LOAN_TIMEOUT{100}; ///< of each donor
constexpr Millis LOAN_WAIT{100}; ///< of a request for a round; routers wait 150 ms for a reply
constexpr Millis RELAY_TIMEOUT{50}; ///< leaves time for a vote if the lender does not answer
constexpr Millis ROUND_INTERVAL{100}; ///< after a round without a token
constexpr Millis SWEEP_INTERVAL{10000};
constexpr Millis REPORT_INTERVAL{1000};
/// In which a process that has started may not know the other members yet. When all hosts of a data centre restart,
/// each would admit the whole share for this time.
constexpr Millis JOINING_TIME{2000};
constexpr unsigned MAX_GRANT = 1000; ///< tokens in one reply

QuotaTolerance toleranceFrom(const QuotaSettings &settings)
{
    const double dataCentres = std::max<std::size_t>(1, settings.dataCentres.size());
    return {settings.window, settings.overage, settings.slack, dataCentres};
}

} // namespace

QuotaLender::QuotaLender(asio::io_context &context, const Clock &clock, const DaemonSettings &settings)
    : m_context(context)
    , m_clock(clock)
    , m_settings(settings)
    , m_peers(context, clock, settings.bindAddress)
    , m_election(context, clock, m_peers)
    , m_terms(settings.node, clock.now() + JOINING_TIME)
{
}

void QuotaLender::update(const FleetView &view)
{
    m_directory = std::make_shared<QuotaDirectory>(view);
    m_election.update(m_directory);
    m_terms.update(m_directory->membersOf(m_directory->dataCentre()), m_clock.now());
}

wire::QuotaReplyT QuotaLender::lend(const wire::QuotaRequestT &request, const Yield &yield)
{
    if (request.count == 0) {
        return m_election.answer(request, yield);
    }
    wire::QuotaReplyT reply;
    reply.request = request.request;
    const auto organisation = m_organisations ? m_organisations(request.organisation) : nullptr;
    reply.unavailable = !organisation || !mayLend(request.organisation);
    if (reply.unavailable) {
        return reply;
    }
    if (organisation->ratePerSecond <= 0) {
        reply.granted = request.count; // the router has not learnt yet that there is no limit any more
        return reply;
    }
    const std::string lender = m_terms.lenderOf(organisation->name, request.unreachable);
    if (lender != m_directory->self()) {
        reply.redirect = m_directory->addressOf(lender);
        return reply;
    }
    Millis since;
    if (m_terms.isLender(organisation->name)) {
        reply.unavailable = !m_election.holdsLease(yield);
        since = termOf(organisation->name);
        if (reply.unavailable && m_directory->isLeaving()) {
            reply.unavailable = false;
            reply.redirect = m_directory->addressOf(m_terms.lenderOf(organisation->name, lender));
            return reply;
        }
    } else if (auto relayed = relay(request, yield)) {
        return std::move(*relayed);
    } else {
        const auto substitute = m_election.substitutionOf(request.unreachable, yield);
        reply.unavailable = !substitute;
        since = std::max(m_terms.since(organisation->name), substitute.value_or(Millis()));
    }
    if (reply.unavailable) {
        reportUnavailable(organisation->name, "not confirmed by a majority of the data centre");
        return reply;
    }
    const EntryPointer entry = entryOf(*organisation, since);
    const unsigned count = std::min(request.count, MAX_GRANT);
    entry->account.addDemand(count, m_clock.now());
    grant(*entry, count, reply);
    if (reply.granted == 0) {
        waitForLoan(entry, organisation->name, reply, yield);
    }
    if (reply.granted == 0) {
        reply.retryAfterMs = entry->account.creditAfter(m_settings.quota.window, m_clock.now()).value;
    }
    return reply;
}

std::optional<wire::QuotaReplyT> QuotaLender::relay(const wire::QuotaRequestT &request, const Yield &yield)
{
    const std::string address = m_directory->addressOf(request.unreachable);
    if (address.empty() || m_election.isSubstitutionOf(request.unreachable)) {
        return std::nullopt;
    }
    wire::QuotaRequestT forwarded;
    forwarded.organisation = request.organisation;
    forwarded.count = request.count;
    auto reply = m_peers.ask<wire::QuotaReplyT>(address, std::move(forwarded), RELAY_TIMEOUT, yield);
    if (reply) {
        reply->request = request.request;
    }
    return reply;
}

bool QuotaLender::mayLend(const std::string &organisation)
{
    const bool majority = m_election.seesMajority();
    const bool proved = !m_settings.keys.strict || !m_hasProof || m_hasProof();
    if (!majority || !proved) {
        reportUnavailable(organisation,
                          majority ? "no proof that the configuration is the newest"
                                   : "fewer than half of the data centre are alive");
    }
    return majority && proved;
}

void QuotaLender::reportUnavailable(const std::string &organisation, const char *cause)
{
    const Millis now = m_clock.now();
    if (now >= m_nextReport) {
        m_nextReport = now + REPORT_INTERVAL;
        logEvent(Event::QuotaUnavailable, {{"organisation", organisation}, {"cause", cause}});
    }
}

QuotaShare QuotaLender::shareOf(const Organisation &organisation) const
{
    QuotaShare share = quotaShareOf(organisation, toleranceFrom(m_settings.quota));
    const auto &names = m_settings.quota.dataCentres;
    const bool ownsShare = names.empty() || std::find(names.begin(), names.end(), m_settings.dataCentre) != names.end();
    // A lender that leaves lends what it has. Its successor's bucket fills from the time of its announcement.
    if (!ownsShare || m_directory->isLeaving()) {
        share.refillPerMs = 0;
    }
    return share;
}

QuotaLender::EntryPointer QuotaLender::entryOf(const Organisation &organisation, Millis since)
{
    const Millis now = m_clock.now();
    const QuotaShare share = shareOf(organisation);
    EntryPointer &entry = m_entries[organisation.name];
    if (!entry || since > entry->since) {
        entry = std::make_shared<Entry>(m_context, QuotaAccount(share, since, now), since);
    } else {
        entry->account.setShare(share, now);
    }
    EntryPointer result = entry; // the reference may end with what is forgotten
    forgetUnused(now);
    return result;
}

Millis QuotaLender::termOf(const std::string &organisation) const
{
    return std::max(m_terms.since(organisation), m_election.replacedUntil());
}

void QuotaLender::forgetUnused(Millis now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + SWEEP_INTERVAL;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const bool used = entry->second->waiting > 0 || entry->second->borrowing;
        const bool forgotten = !used && entry->second->account.isForgettable(now);
        entry = forgotten ? m_entries.erase(entry) : std::next(entry);
    }
}

void QuotaLender::grant(Entry &entry, unsigned count, wire::QuotaReplyT &reply)
{
    reply.granted = entry.account.take(count, m_clock.now());
}

void QuotaLender::waitForLoan(const EntryPointer &entry, const std::string &organisation, wire::QuotaReplyT &reply,
                              const Yield &yield)
{
    const Millis deadline = m_clock.now() + LOAN_WAIT;
    if (!entry->borrowing) {
        if (m_clock.now() < entry->nextRound) {
            return;
        }
        entry->borrowing = true;
        ++entry->waiting;
        asio::spawn(m_context, [this, entry, organisation](const Yield &own) { borrow(entry, organisation, own); });
    } else {
        ++entry->waiting;
    }
    while (reply.granted == 0 && entry->borrowing && m_clock.now() < deadline) {
        entry->loanArrived.wait(deadline - m_clock.now(), yield);
        grant(*entry, 1, reply);
    }
    if (reply.granted == 0) {
        grant(*entry, 1, reply); // the round may have ended before it had to wait
    }
    --entry->waiting;
}

void QuotaLender::borrow(const EntryPointer &entry, const std::string &organisation, const Yield &yield)
{
    double missing = entry->account.wantedLoan(entry->waiting, m_clock.now());
    for (const std::string &donor : donorsOf(organisation, entry->rounds++)) {
        wire::QuotaBorrowT request;
        request.organisation = organisation;
        request.wanted = missing;
        const auto loan = m_peers.ask<wire::QuotaLoanT>(donor, std::move(request), LOAN_TIMEOUT, yield);
        if (!loan || loan->tokens <= 0) {
            continue;
        }
        const double tokens = std::min(loan->tokens, missing);
        entry->account.deposit(tokens, entry->waiting, m_clock.now());
        entry->loanArrived.notifyAll();
        missing -= tokens;
        if (missing <= 0) {
            break;
        }
    }
    if (entry->account.level(m_clock.now()) < 1) {
        entry->nextRound = m_clock.now() + ROUND_INTERVAL;
    }
    entry->borrowing = false;
    entry->loanArrived.notifyAll();
}

std::vector<std::string> QuotaLender::donorsOf(const std::string &organisation, unsigned round) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const std::string &dataCentre : m_settings.quota.dataCentres) {
        const std::string lender = firstLender(organisation, m_directory->membersOf(dataCentre));
        if (dataCentre != m_settings.dataCentre && !lender.empty()) {
            auto &donors = m_directory->isInOwnRegion(dataCentre) ? near : far;
            donors.push_back(m_directory->addressOf(lender));
        }
    }
    // Each round starts with another one, so that none is used up before the others.
    for (auto *donors : {&near, &far}) {
        if (!donors->empty()) {
            std::rotate(donors->begin(), donors->begin() + round % donors->size(), donors->end());
        }
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

void QuotaLender::takeBack(const wire::QuotaReturnT &returned)
{
    const auto entry = m_entries.find(returned.organisation);
    if (entry != m_entries.end()) {
        entry->second->account.giveBack(std::min(returned.count, MAX_GRANT), m_clock.now());
    }
}

wire::QuotaLoanT QuotaLender::lendTo(const wire::QuotaBorrowT &request, const Yield &yield)
{
    wire::QuotaLoanT loan;
    loan.request = request.request;
    const auto organisation = m_organisations ? m_organisations(request.organisation) : nullptr;
    const bool lends = organisation && organisation->ratePerSecond > 0 && m_terms.isLender(organisation->name)
        && mayLend(organisation->name) && m_election.holdsLease(yield);
    if (lends) {
        const EntryPointer entry = entryOf(*organisation, termOf(organisation->name));
        loan.tokens = entry->account.lend(request.wanted, m_clock.now());
    }
    return loan;
}

} // namespace mustardpond
