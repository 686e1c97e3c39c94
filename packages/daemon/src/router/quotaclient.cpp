#include "quotaclient.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis LENDER_TIMEOUT{150}; ///< for a reply, connecting included
constexpr Millis UNREACHABLE_TIME{1000}; ///< in which a lender that did not reply is not asked again
constexpr Millis CONTESTED_TIME{200}; ///< the same, if another member disagrees
constexpr Millis LOCAL_REFUSAL_TIME{50};
constexpr Millis TOKEN_LIFETIME{200};
constexpr Millis ADVANCE_PERIOD{50}; ///< demand for which tokens are taken in advance, from 40 requests/s
constexpr unsigned MAX_ADVANCE = 64;
constexpr Millis MIN_QUOTA_RETRY_AFTER{200};
constexpr Millis UNAVAILABLE_RETRY_AFTER{500};
constexpr double RETRY_SPREAD = 0.1;
constexpr double MS_PER_SECOND = 1000;
constexpr Millis REPORT_INTERVAL{1000};
constexpr Millis SWEEP_INTERVAL{10000};
constexpr Millis RETENTION{60000};
constexpr Millis RETURN_TIMEOUT{1000};

std::uint64_t total(const QuotaUse &use)
{
    const QuotaCounts &counts = use.counts;
    return counts.granted + counts.overLimit + counts.overLimitLocally + counts.unavailable;
}

} // namespace

QuotaDecision QuotaClient::take(const Organisation &organisation, const Yield &yield)
{
    const auto state = stateOf(organisation);
    Millis now = m_clock.now();
    if (now < state->refusedUntil) {
        ++m_counts.overLimitLocally;
        ++state->use.counts.overLimitLocally;
        return refuse(*state, state->creditAt + Millis(MS_PER_SECOND / organisation.ratePerSecond));
    }
    const bool hasToken = state->tokens > 0 && now <= state->tokensUntil;
    if (hasToken) {
        --state->tokens;
    } else {
        state->tokens = 0;
        const auto advance = static_cast<unsigned>(state->demand.expected(ADVANCE_PERIOD, now));
        const auto reply = askLender(organisation.name, std::clamp(advance, 1U, MAX_ADVANCE), yield);
        now = m_clock.now();
        if (reply.granted == 0 && !reply.unavailable) {
            ++m_counts.overLimit;
            ++state->use.counts.overLimit;
            state->refusedUntil = now + LOCAL_REFUSAL_TIME;
            return refuse(*state, now + Millis(reply.retryAfterMs));
        }
        if (reply.granted == 0) {
            ++m_counts.unavailable;
            ++state->use.counts.unavailable;
            return {QuotaResult::Unavailable, UNAVAILABLE_RETRY_AFTER};
        }
        state->tokens += reply.granted - 1;
        state->tokensUntil = now + TOKEN_LIFETIME;
    }
    state->demand.add(1, now);
    ++m_counts.granted;
    ++state->use.counts.granted;
    return {QuotaResult::Granted, Millis()};
}

QuotaDecision QuotaClient::refuse(State &state, Millis creditAt)
{
    const Millis now = m_clock.now();
    const Millis longest = m_settings.quota.window;
    state.creditAt = std::min(creditAt, now + longest);
    const double spread = 1 - RETRY_SPREAD + 2 * RETRY_SPREAD * m_random.uniform();
    const Millis retryAfter((state.creditAt - now).value * spread);
    const QuotaDecision decision{QuotaResult::OverLimit,
                                 std::min(std::max(retryAfter, MIN_QUOTA_RETRY_AFTER), longest)};
    if (now >= state.nextReport) {
        state.nextReport = now + REPORT_INTERVAL;
        logEvent(Event::QuotaExceeded,
                 {{"organisation", state.use.organisation},
                  {"ratePerS", state.use.ratePerSecond},
                  {"granted", state.use.counts.granted},
                  {"refused", state.use.counts.overLimit + state.use.counts.overLimitLocally},
                  {"retryAfterMs", decision.retryAfter.value}});
    }
    return decision;
}

wire::QuotaReplyT QuotaClient::askLender(const std::string &organisation, unsigned count, const Yield &yield)
{
    wire::QuotaRequestT request;
    request.organisation = organisation;
    request.count = count;
    std::string node = m_lender.lenderOf(organisation);
    if (isUnreachable(node)) {
        request.unreachable = node;
        node = m_lender.lenderOf(organisation, node);
    }
    bool redirected = false;
    wire::QuotaReplyT unavailable;
    unavailable.unavailable = true;
    while (!node.empty()) {
        const auto reply = askMember(node, request, yield);
        if (!reply) {
            markUnreachable(node, organisation);
            if (!request.unreachable.empty()) {
                return unavailable;
            }
            request.unreachable = node;
            node = m_lender.lenderOf(organisation, node);
        } else if (!reply->redirect.empty() && !redirected) {
            redirected = true;
            node = m_lender.directory().neighbourAt(reply->redirect);
        } else {
            const auto contested = m_unreachableUntil.find(request.unreachable);
            if (reply->unavailable && contested != m_unreachableUntil.end()) {
                contested->second = std::min(contested->second, m_clock.now() + CONTESTED_TIME);
            }
            return reply->redirect.empty() ? *reply : unavailable;
        }
    }
    return unavailable;
}

std::optional<wire::QuotaReplyT> QuotaClient::askMember(const std::string &node, const wire::QuotaRequestT &request,
                                                        const Yield &yield)
{
    if (node == m_lender.directory().self()) {
        return m_lender.lend(request, yield);
    }
    return m_lender.peers().ask<wire::QuotaReplyT>(m_lender.directory().addressOf(node), request, LENDER_TIMEOUT,
                                                   yield);
}

bool QuotaClient::isUnreachable(const std::string &node) const
{
    const auto entry = m_unreachableUntil.find(node);
    return entry != m_unreachableUntil.end() && m_clock.now() < entry->second;
}

void QuotaClient::markUnreachable(const std::string &node, const std::string &organisation)
{
    if (!isUnreachable(node)) {
        logEvent(Event::LenderUnreachable, {{"lender", node}, {"organisation", organisation}});
    }
    m_unreachableUntil[node] = m_clock.now() + UNREACHABLE_TIME;
}

void QuotaClient::giveBack(const std::string &organisation)
{
    ++m_counts.returned;
    const auto state = m_states.find(organisation);
    if (state != m_states.end()) {
        ++state->second->use.counts.returned;
    }
    wire::QuotaReturnT message;
    message.organisation = organisation;
    message.count = 1;
    const std::string node = m_lender.lenderOf(organisation);
    if (node == m_lender.directory().self()) {
        return m_lender.takeBack(message);
    }
    const std::string address = m_lender.directory().addressOf(node);
    asio::spawn(m_context, [this, message, address](const Yield &yield) {
        m_lender.peers().send(address, message, RETURN_TIMEOUT, yield);
    });
}

std::shared_ptr<QuotaClient::State> QuotaClient::stateOf(const Organisation &organisation)
{
    const Millis now = m_clock.now();
    if (now >= m_nextSweep) {
        m_nextSweep = now + SWEEP_INTERVAL;
        for (auto entry = m_states.begin(); entry != m_states.end();) {
            entry = now - entry->second->usedAt > RETENTION ? m_states.erase(entry) : std::next(entry);
        }
    }
    auto &state = m_states[organisation.name];
    if (!state) {
        state = std::make_shared<State>();
    }
    state->use.organisation = organisation.name;
    state->use.ratePerSecond = organisation.ratePerSecond;
    state->use.burst = organisation.burst;
    state->usedAt = now;
    return state;
}

std::vector<QuotaUse> QuotaClient::mostUsed(std::size_t count) const
{
    std::vector<QuotaUse> uses;
    uses.reserve(m_states.size());
    for (const auto &entry : m_states) {
        uses.push_back(entry.second->use);
    }
    count = std::min(count, uses.size());
    std::partial_sort(uses.begin(), uses.begin() + static_cast<std::ptrdiff_t>(count), uses.end(),
                      [](const QuotaUse &a, const QuotaUse &b) { return total(a) > total(b); });
    uses.resize(count);
    return uses;
}

} // namespace mustardpond
