#include "router.h"

#include "bundleinforce.h"
#include "callersession.h"

#include <sys/resource.h>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis MAX_GATE_IDLE{5000}; ///< of a connection to a gate
constexpr Millis TICK_INTERVAL{20};
constexpr Millis SLOW_TICK_INTERVAL{1000}; ///< with detection by gates, which decides nothing between requests
constexpr Millis CONFIGURATION_CHECK_INTERVAL{50};
constexpr Millis MIN_IDLE_TIME{2000};
constexpr std::size_t CALLERS_PER_IDLE_CHANNEL = 8; ///< idle connections to gates, in relation to callers'
constexpr std::size_t MIN_IDLE_CHANNELS = 8;
/// Of the process's descriptors. The rest is left to peers, the store and upstreams: each request needs one connection
/// to a gate or to the upstream for a part of its time.
constexpr double CALLER_DESCRIPTOR_SHARE = 0.75;

} // namespace

Router::Router(asio::io_context &context, const Clock &clock, Random &random, const DaemonSettings &settings,
               std::shared_ptr<const CallerDialect> dialect)
    : m_context(context)
    , m_clock(clock)
    , m_random(random)
    , m_settings(settings)
    , m_dialect(std::move(dialect))
    , m_table(settings.detection, profileForCost(settings.lateDetectionCost), random)
    , m_keyAdmission(settings.keys)
    , m_pool(context, settings.bindAddress, MAX_GATE_IDLE)
    , m_lastRequestNumber(random.next())
    , m_runReporter(context, clock, m_pool, m_lastRequestNumber)
    , m_dispatch{context,          clock,        m_table,
                 m_pool,           m_metrics,    m_lastRequestNumber,
                 settings.refusal, std::nullopt, settings.detection == Detection::Gates,
                 nullptr,          nullptr,      &m_runReporter}
    , m_listener(std::make_shared<Listener>(context, settings.caller,
                                            [this](tcp::socket socket, const Yield &yield) {
                                                if (!makeRoom()) {
                                                    return;
                                                }
                                                CallerSession session(*this, std::move(socket));
                                                session.run(yield);
                                            }))
    , m_bodyBudget(context, clock, settings.limits.bodyBudget())
{
    applyLimits();
    m_bodyBudget.onEviction([this] { reportLimit(LimitCause::Evicted); });
}

void Router::start()
{
    m_table.setRetryLimits(m_settings.retries);
    m_listener->start();
    asio::spawn(m_context, [this](const Yield &yield) { tick(yield); });
}

void Router::stop()
{
    m_stopped = true;
    m_listener->stop();
}

void Router::applyLimits()
{
    m_bodyBudget.bytes().setTotal(m_settings.limits.bodyBudget());
    m_pool.setMaxChannels(std::max(MIN_IDLE_CHANNELS, m_settings.limits.callerConnections / CALLERS_PER_IDLE_CHANNEL));
}

std::size_t Router::maxConnections() const
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return m_settings.limits.callerConnections;
    }
    const auto share = static_cast<std::size_t>(static_cast<double>(limit.rlim_cur) * CALLER_DESCRIPTOR_SHARE);
    return std::min(m_settings.limits.callerConnections, share);
}

bool Router::makeRoom()
{
    if (m_sessions.size() < maxConnections()) {
        return true;
    }
    const Millis now = m_clock.now();
    CallerSession *idlest = nullptr;
    Millis longest;
    for (CallerSession *session : m_sessions) {
        const auto silence = session->callerSilence(now);
        if (silence && *silence > longest && session->mayBeClosed(*silence)) {
            idlest = session;
            longest = *silence;
        }
    }
    reportLimit(idlest ? LimitCause::IdleClosed : LimitCause::NoConnection);
    if (idlest) {
        idlest->closeForOther();
    }
    return idlest != nullptr;
}

const std::string &Router::nextServiceOf(const RouteObject &route)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    std::vector<double> weights;
    for (const RoutePart &part : route.parts) {
        weights.push_back(part.weight);
    }
    auto roundRobin = m_roundRobins.find(route.name);
    if (roundRobin == m_roundRobins.end() || roundRobin->second.weights() != weights) {
        roundRobin = m_roundRobins.insert_or_assign(route.name, WeightedRoundRobin(std::move(weights), m_random)).first;
    }
    return route.parts[roundRobin->second.next()].service;
}

void Router::leave(Millis stopAt)
{
    m_leaving = true;
    m_dispatch.stopAt = stopAt;
}

void Router::abortPending()
{
    for (CallerSession *session : m_sessions) {
        session->abortPending();
    }
}

bool Router::isBusy() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(),
                       [](const CallerSession *session) { return session->isBusy(); });
}

bool Router::isIdle() const
{
    const Millis now = m_clock.now();
    return std::all_of(m_sessions.begin(), m_sessions.end(),
                       [now](const CallerSession *session) { return session->idleTime(now) > MIN_IDLE_TIME; });
}

bool Router::waitForConfiguration(Millis timeout, const Yield &yield)
{
    const Millis deadline = m_clock.now() + timeout;
    while (!view().configured && !m_leaving && m_clock.now() < deadline) {
        asio::steady_timer timer(m_context, toDuration(CONFIGURATION_CHECK_INTERVAL));
        ErrorCode ignored;
        timer.async_wait(yield[ignored]);
    }
    return view().configured;
}

bool Router::acceptsKeys() const
{
    const auto &config = view().config;
    return m_keyAdmission.accepts(config && hasOrganisations(*config), m_clock.now());
}

std::optional<Millis> Router::proofAge() const
{
    const auto &proof = m_keyAdmission.proof();
    return proof ? std::optional<Millis>(m_clock.now() - proof->at) : std::nullopt;
}

void Router::reportHeld(const std::string &service, const std::string &workClass)
{
    if (m_onSaturation) {
        m_onSaturation(service, workClass);
    }
}

void Router::tick(const Yield &yield)
{
    asio::steady_timer timer(m_context);
    const Millis period = m_settings.detection == Detection::Gates ? SLOW_TICK_INTERVAL : TICK_INTERVAL;
    while (!m_stopped) {
        timer.expires_after(toDuration(period));
        ErrorCode ignored;
        timer.async_wait(yield[ignored]);
        m_table.tick(m_clock.now());
    }
}

} // namespace mustardpond
