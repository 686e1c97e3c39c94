#include "router.h"

#include "callersession.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis TICK{20};
constexpr Millis CONFIGURATION_CHECK{50};
constexpr Millis QUIET_TIME{2000};

} // namespace

Router::Router(asio::io_context &context, const Clock &clock, Random &random, const DaemonSettings &settings)
    : m_context(context)
    , m_clock(clock)
    , m_random(random)
    , m_settings(settings)
    , m_table(profileForCost(settings.lateDetectionCost), random)
    , m_pool(context, settings.bindAddress)
    , m_nextRequest(random.next())
    , m_dispatch{context, clock, m_table, m_pool, m_metrics, m_nextRequest, nullptr}
    , m_listener(std::make_shared<Listener>(context, settings.caller, [this](tcp::socket socket, const Yield &yield) {
        CallerSession session(*this, std::move(socket));
        session.run(yield);
    }))
{
}

void Router::start()
{
    m_listener->start();
    asio::spawn(m_context, [this](const Yield &yield) { tick(yield); });
}

void Router::stop()
{
    m_stopped = true;
    m_listener->stop();
}

void Router::leave()
{
    m_leaving = true;
}

bool Router::isQuiet() const
{
    const Millis now = m_clock.now();
    return std::all_of(m_sessions.begin(), m_sessions.end(),
                       [now](const CallerSession *session) { return session->idleTime(now) > QUIET_TIME; });
}

bool Router::awaitConfiguration(Millis atMost, const Yield &yield)
{
    const Millis end = m_clock.now() + atMost;
    while (!view().configured && m_clock.now() < end) {
        asio::steady_timer timer(m_context, toDuration(CONFIGURATION_CHECK));
        ErrorCode ignored;
        timer.async_wait(yield[ignored]);
    }
    return view().configured;
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
    while (!m_stopped) {
        timer.expires_after(toDuration(TICK));
        ErrorCode ignored;
        timer.async_wait(yield[ignored]);
        m_table.tick(m_clock.now());
    }
}

} // namespace mustardpond
