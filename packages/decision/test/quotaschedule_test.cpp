// Random schedules of requests and faults against the decisions of quotas, with the order of messages of QuotaClient
// and QuotaLender but without a network. They guard against tokens that are admitted twice, by two lenders or by two
// data centres, and against credit that is left unused.

#include "decision/lenderlease.h"
#include "decision/quotaaccount.h"
#include "decision/quotalenders.h"
#include "foundation/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>

namespace mustardpond {

namespace {

constexpr int DATA_CENTRES = 3;
constexpr int HOSTS = 4; ///< in each data centre
constexpr Millis STEP{20};
constexpr Millis WINDOW{5000};
constexpr Millis CONFIGURATION_DELAY{500}; ///< until all hosts have a lowered limit
constexpr Millis VIEW_INTERVAL{100};
constexpr char NAME[] = "vakif";
const std::vector<std::string> NODES = {"a", "b", "c", "d"};

int indexOf(const std::string &node)
{
    return node.front() - 'a';
}

struct Host {
    int index = 0;
    bool alive = true;
    int side = 0; ///< hosts of a data centre on different sides of a partition do not reach each other
    Millis seenAt[HOSTS]; ///< when the others last were reached, directly or through a third one
    Millis detection; ///< until a host that is not reached is considered dead
    std::unique_ptr<LenderTerms> terms;
    LenderMajority majority;
    std::set<std::string> members;
    LenderLease lease;
    LenderVotes votes;
    std::optional<QuotaAccount> account;
    std::optional<Millis> substituteSince;
    Millis substituteUntil;
    Millis nextRound;
    Millis refusedUntil;
};

class Fleet
{
public:
    Fleet(const Organisation &organisation, Random &random)
        : m_random(random)
        , m_limits{{Millis(0), organisation}}
    {
        for (auto &dataCentre : m_hosts) {
            for (int index = 0; index < HOSTS; ++index) {
                start(dataCentre[index], index);
            }
        }
    }

    void advance()
    {
        m_now = m_now + STEP;
        if (m_now < m_nextView) {
            return;
        }
        m_nextView = m_now + VIEW_INTERVAL;
        for (auto &dataCentre : m_hosts) {
            for (Host &host : dataCentre) {
                updateView(dataCentre, host);
            }
        }
    }
    void request(int dataCentre, int index)
    {
        Host &router = m_hosts[dataCentre][index];
        if (!router.alive || m_now < router.refusedUntil) {
            return;
        }
        const std::string first = router.terms->lenderOf(NAME);
        auto granted = ask(dataCentre, router, first, {});
        if (!granted) {
            granted = ask(dataCentre, router, router.terms->lenderOf(NAME, first), first);
        }
        if (granted.value_or(false)) {
            m_admitted.push_back(m_now);
        } else {
            router.refusedUntil = m_now + Millis(50);
        }
    }
    void lowerLimit(double factor)
    {
        Organisation organisation = m_limits.back().second;
        organisation.ratePerSecond *= factor;
        organisation.burst *= factor;
        m_limits.emplace_back(m_now, organisation);
    }
    void injectFault()
    {
        auto &dataCentre = m_hosts[m_random.below(DATA_CENTRES)];
        Host &host = dataCentre[m_random.below(HOSTS)];
        switch (m_random.below(6)) {
        case 0:
            host.alive = false;
            return;
        case 1:
            return start(host, host.index);
        case 2:
            host.side = 1 + host.index;
            return;
        case 3:
            for (Host &each : dataCentre) {
                each.side = static_cast<int>(m_random.below(2));
            }
            return;
        case 4:
            for (Host &each : dataCentre) {
                each.side = 0;
            }
            return;
        default:
            m_lossRatio = m_random.uniform() < 0.5 ? 0 : 0.3;
            m_regionsCut = m_random.uniform() < 0.3;
        }
    }

    /// Returns the highest ratio of the requests admitted in a window to what is allowed in it.
    double highestUse() const
    {
        double highest = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_admitted.size(); ++last) {
            while (m_admitted[first] <= m_admitted[last] - WINDOW) {
                ++first;
            }
            highest = std::max(highest, static_cast<double>(last - first + 1) / allowedFrom(m_admitted[last] - WINDOW));
        }
        return highest;
    }
    std::size_t admittedSince(Millis time) const
    {
        return m_admitted.end() - std::lower_bound(m_admitted.begin(), m_admitted.end(), time);
    }
    Millis now() const
    {
        return m_now;
    }

private:
    void start(Host &host, int index)
    {
        host = Host();
        host.index = index;
        host.detection = Millis(1500 + 3000 * m_random.uniform());
        host.terms = std::make_unique<LenderTerms>(NODES[index], m_now);
        host.majority.addRegistered({NODES.begin(), NODES.end()}, m_now);
        for (Millis &seenAt : host.seenAt) {
            seenAt = Millis(-1e6);
        }
    }
    static bool reaches(const Host &from, const Host &to)
    {
        return from.alive && to.alive && from.side == to.side;
    }
    void updateView(Host (&dataCentre)[HOSTS], Host &host)
    {
        std::set<std::string> members;
        for (const Host &other : dataCentre) {
            if (reaches(host, other)) {
                host.seenAt[other.index] = m_now;
            }
            if (other.index == host.index || m_now - host.seenAt[other.index] <= host.detection) {
                members.insert(NODES[other.index]);
            }
        }
        if (!host.alive || members == host.members) {
            return;
        }
        host.members = members;
        host.terms->update(members, m_now);
        host.majority.update(members, {}, m_now);
        if (!host.terms->isLender(NAME) && !host.substituteSince) {
            host.account.reset();
        }
    }
    /// Returns the limit in force at a host.
    const Organisation &limit() const
    {
        const auto &newest = m_limits.back();
        return m_now >= newest.first + CONFIGURATION_DELAY || m_limits.size() == 1
            ? newest.second
            : m_limits[m_limits.size() - 2].second;
    }
    double allowedFrom(Millis start) const
    {
        const Organisation *organisation = &m_limits.front().second;
        for (const auto &[since, lowered] : m_limits) {
            organisation = start >= since + CONFIGURATION_DELAY ? &lowered : organisation;
        }
        return (organisation->ratePerSecond * 5 + organisation->burst) * 1.1 + 20;
    }
    bool isLost()
    {
        return m_random.uniform() < m_lossRatio;
    }
    std::set<std::string> votersOf(const Host &host) const
    {
        return lenderVoters(host.majority.known(m_now));
    }
    bool holdsLease(Host (&dataCentre)[HOSTS], Host &host)
    {
        if (host.lease.isDue(m_now)) {
            const auto voters = votersOf(host);
            std::size_t votes = 0;
            for (const std::string &node : voters) {
                const Host &voter = dataCentre[indexOf(node)];
                const bool confirms = reaches(host, voter) && voter.members.count(NODES[host.index]) > 0
                    && !voter.votes.denies(NODES[host.index], m_now);
                votes += confirms ? 1 : 0;
            }
            if (isMajority(votes, voters.size())) {
                host.lease.confirm(m_now);
            }
        }
        return host.lease.isValid(m_now);
    }
    bool substitutes(Host (&dataCentre)[HOSTS], Host &host, const Host &lender)
    {
        if (host.substituteSince && m_now <= host.substituteUntil) {
            return true;
        }
        const auto voters = votersOf(host);
        std::size_t votes = 0;
        bool reached = reaches(host, lender);
        for (const std::string &node : voters) {
            Host &voter = dataCentre[indexOf(node)];
            if (reaches(host, voter) && reaches(voter, lender)) {
                reached = true;
            } else if (reaches(host, voter)) {
                voter.votes.deny(NODES[lender.index], m_now);
                ++votes;
            }
        }
        if (reached || !isMajority(votes, voters.size())) {
            host.substituteSince.reset();
            host.account.reset();
            return false;
        }
        host.substituteUntil = m_now + LENDER_LEASE;
        if (!host.substituteSince) {
            host.substituteSince = m_now + LENDER_LEASE;
            host.account.reset();
        }
        return true;
    }
    QuotaAccount &accountOf(Host &host, Millis since)
    {
        const QuotaShare share = quotaShareOf(limit(), {WINDOW, 0.1, 20, DATA_CENTRES});
        if (!host.account) {
            host.account.emplace(share, since, m_now);
        }
        host.account->setShare(share, m_now);
        return *host.account;
    }
    /// Returns whether a token is granted; nothing without an answer of a lender.
    std::optional<bool> ask(int dataCentre, Host &router, const std::string &node, const std::string &unreachable)
    {
        if (node.empty()) {
            return std::nullopt;
        }
        Host &host = m_hosts[dataCentre][indexOf(node)];
        const bool remote = &host != &router;
        if (remote && (!reaches(router, host) || isLost())) {
            return std::nullopt;
        }
        const std::string ignored = host.members.count(unreachable) > 0 ? unreachable : std::string();
        if (!host.majority.holds(m_now) || !host.terms->isLender(NAME, ignored)) {
            return std::nullopt;
        }
        Millis since = host.terms->since(NAME);
        if (!host.terms->isLender(NAME)) {
            if (!substitutes(m_hosts[dataCentre], host, m_hosts[dataCentre][indexOf(ignored)])) {
                return std::nullopt;
            }
            since = std::max(since, *host.substituteSince);
        } else if (!holdsLease(m_hosts[dataCentre], host)) {
            return std::nullopt;
        }
        QuotaAccount &account = accountOf(host, since);
        account.addDemand(1, m_now);
        bool granted = account.take(1, m_now) > 0;
        if (!granted) {
            borrow(dataCentre, host, account);
            granted = account.take(1, m_now) > 0;
        }
        // A lost reply loses the token.
        return remote && isLost() ? std::nullopt : std::optional<bool>(granted);
    }
    void borrow(int dataCentre, Host &host, QuotaAccount &account)
    {
        if (m_now < host.nextRound) {
            return;
        }
        double missing = account.wantedLoan(1, m_now);
        for (int donor = 0; donor < DATA_CENTRES && missing > 0; ++donor) {
            if (donor == dataCentre || m_regionsCut) {
                continue;
            }
            Host &lender = m_hosts[donor][indexOf(firstLender(NAME, m_hosts[donor][m_random.below(HOSTS)].members))];
            if (!lender.alive || !lender.majority.holds(m_now) || !lender.terms->isLender(NAME)
                || !holdsLease(m_hosts[donor], lender)) {
                continue;
            }
            const double lent = accountOf(lender, lender.terms->since(NAME)).lend(missing, m_now);
            if (!isLost()) {
                account.deposit(lent, 1, m_now);
                missing -= lent;
            }
        }
        host.nextRound = account.level(m_now) < 1 ? m_now + Millis(100) : m_now;
    }

    Random &m_random;
    std::vector<std::pair<Millis, Organisation>> m_limits; ///< with the time since when they are in force
    Host m_hosts[DATA_CENTRES][HOSTS];
    std::vector<Millis> m_admitted;
    Millis m_now;
    Millis m_nextView;
    double m_lossRatio = 0;
    bool m_regionsCut = false;
};

Organisation randomOrganisation(Random &random)
{
    Organisation organisation;
    organisation.name = NAME;
    organisation.ratePerSecond = std::exp(std::log(0.5) + random.uniform() * std::log(200.0));
    organisation.burst = random.uniform() < 0.5 ? 0 : organisation.ratePerSecond * 5 * random.uniform();
    return organisation;
}

/// Sends requests of about the given rate for one step.
void sendRequests(Fleet &fleet, Random &random, double perSecond, const std::function<int()> &dataCentre,
                  const std::function<int()> &host)
{
    double expected = perSecond * STEP.value / 1000;
    for (; expected > random.uniform(); --expected) {
        fleet.request(dataCentre(), host());
    }
}

TEST(QuotaScheduleTest, LimitHoldsInEachWindowWhateverFails)
{
    for (int seed = 1; seed <= 10000; ++seed) {
        SeededRandom random(seed);
        const Organisation organisation = randomOrganisation(random);
        Fleet fleet(organisation, random);
        const double demand = organisation.ratePerSecond * (1 + 6 * random.uniform()) + organisation.burst / 5;
        const double faultsPerStep = 0.05 * random.uniform() * random.uniform();
        // Shorter than the 10 s after which hosts that are cut off forget the others and lend their data centre's
        // share.
        const Millis end(7000 + 4000 * random.uniform());
        const bool spread = random.uniform() < 0.5;
        while (fleet.now() < end) {
            fleet.advance();
            if (random.uniform() < faultsPerStep) {
                fleet.injectFault();
            }
            if (random.uniform() < 0.001) {
                fleet.lowerLimit(random.uniform());
            }
            sendRequests(
                fleet, random, demand, [&] { return spread ? static_cast<int>(random.below(DATA_CENTRES)) : 1; },
                [&] { return static_cast<int>(random.below(HOSTS)); });
        }
        ASSERT_LE(fleet.highestUse(), 1) << "seed " << seed << ", rate " << organisation.ratePerSecond << ", burst "
                                         << organisation.burst;
    }
}

TEST(QuotaScheduleTest, SoundLinksLetNineteenOfTwentyThrough)
{
    for (int seed = 1; seed <= 400; ++seed) {
        SeededRandom random(seed);
        Organisation organisation = randomOrganisation(random);
        organisation.ratePerSecond = std::max(organisation.ratePerSecond, 2.0);
        Fleet fleet(organisation, random);
        const double demand = organisation.ratePerSecond * (1.5 + 5 * random.uniform());
        const std::size_t placement = random.below(3);
        int place = 0;
        const Millis warm(6000);
        const Millis end(36000);
        while (fleet.now() < end) {
            fleet.advance();
            if (random.uniform() < STEP.value / 3000) {
                place = static_cast<int>(random.below(DATA_CENTRES));
            }
            sendRequests(
                fleet, random, demand,
                [&] {
                    return placement == 0 ? 0 : placement == 1 ? place : static_cast<int>(random.below(DATA_CENTRES));
                },
                [&] { return placement == 0 ? 0 : static_cast<int>(random.below(HOSTS)); });
        }
        const double allowed = organisation.ratePerSecond * (end - warm).value / 1000;
        ASSERT_GE(static_cast<double>(fleet.admittedSince(warm)), 0.95 * allowed)
            << "seed " << seed << ", rate " << organisation.ratePerSecond << ", placement " << placement;
        ASSERT_LE(fleet.highestUse(), 1) << "seed " << seed;
    }
}

} // namespace

} // namespace mustardpond
