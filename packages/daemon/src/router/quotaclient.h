/// Takes tokens of organisations' quotas for the requests of this router.
#pragma once

#include "decision/organisation.h"
#include "decision/quotaaccount.h"
#include "quotalender.h"

#include "foundation/enumtable.h"
#include "foundation/random.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardpond {

enum class QuotaResult : std::uint8_t {
    Granted,
    OverLimit,
    Unavailable, ///< no lender can say
};

/// An answer to a request for a token.
struct QuotaDecision {
    QuotaResult result = QuotaResult::Unavailable;
    Millis retryAfter; ///< unless granted
};

/// Requests by what became of them.
struct QuotaCounts {
    std::uint64_t granted = 0;
    std::uint64_t overLimit = 0; ///< by a lender's reply
    std::uint64_t overLimitLocally = 0; ///< refused by this router, shortly after such a reply
    std::uint64_t unavailable = 0;
    std::uint64_t returned = 0; ///< granted, but not run
};

/// An organisation's use of its quota in this process.
struct QuotaUse {
    std::string organisation;
    double ratePerSecond = 0;
    double burst = 0;
    QuotaCounts counts;
};

/// Not thread-safe.
class QuotaClient
{
public:
    QuotaClient(asio::io_context &context, const Clock &clock, Random &random, const DaemonSettings &settings,
                QuotaLender &lender)
        : m_context(context)
        , m_clock(clock)
        , m_random(random)
        , m_settings(settings)
        , m_lender(lender)
    {
    }

    /// Takes a token for one request of an organisation that has a limit.
    QuotaDecision take(const Organisation &organisation, const Yield &yield);
    /// Returns the token of a request that has not run.
    void giveBack(const std::string &organisation);

    const QuotaCounts &counts() const
    {
        return m_counts;
    }
    /// Returns the organisations with the most requests, in that order.
    std::vector<QuotaUse> mostUsed(std::size_t count) const;

private:
    struct State {
        QuotaUse use;
        DemandMeter demand;
        unsigned tokens = 0; ///< taken, but not used yet
        Millis tokensUntil;
        Millis refusedUntil; ///< until then, requests are refused here
        Millis creditAt; ///< when there will be credit for the last request that was refused
        Millis nextReport;
        Millis usedAt;
    };

    std::shared_ptr<State> stateOf(const Organisation &organisation);
    QuotaDecision refuse(State &state, Millis creditAt);
    wire::QuotaReplyT askLender(const std::string &organisation, unsigned count, const Yield &yield);
    /// Returns the member's reply; nothing if it cannot be reached.
    std::optional<wire::QuotaReplyT> askMember(const std::string &node, const wire::QuotaRequestT &request,
                                               const Yield &yield);
    bool isUnreachable(const std::string &node) const;
    void markUnreachable(const std::string &node, const std::string &organisation);

    asio::io_context &m_context;
    const Clock &m_clock;
    Random &m_random;
    const DaemonSettings &m_settings;
    QuotaLender &m_lender;
    std::unordered_map<std::string, std::shared_ptr<State>> m_states; ///< of active organisations
    std::map<std::string, Millis> m_unreachableUntil; ///< by node
    QuotaCounts m_counts;
    Millis m_nextSweep;
};

} // namespace mustardpond
