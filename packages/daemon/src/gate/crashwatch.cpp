#include "crashwatch.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <array>

namespace mustardpond {

namespace {

constexpr Millis CRASH_CHECK_TIMEOUT{200};
constexpr Millis RECHECK_DELAY{20};
constexpr std::array<Millis, 3> BACKGROUND_CHECK_DELAYS = {Millis(100), Millis(300), Millis(600)};

bool refusesConnections(GateContext &gate, const Endpoint &upstream, const Yield &yield)
{
    try {
        gate.client.open(upstream, true, CRASH_CHECK_TIMEOUT, yield);
        return false;
    } catch (const boost::system::system_error &error) {
        return error.code() == asio::error::connection_refused;
    }
}

} // namespace

bool hasJustCrashed(GateContext &gate, const SuspectedCrash &suspected, const Yield &yield)
{
    if (refusesConnections(gate, suspected.upstream, yield)) {
        return true;
    }
    asio::steady_timer timer(gate.context, toDuration(RECHECK_DELAY));
    timer.async_wait(yield);
    return refusesConnections(gate, suspected.upstream, yield);
}

void recordCrash(GateContext &gate, const SuspectedCrash &suspected)
{
    const auto status = gate.quarantine.onCrash(suspected.fingerprint, gate.clock.now());
    if (gate.reportCrash) {
        gate.reportCrash(suspected.fingerprint);
    }
    if (status == QuarantineStatus::Quarantined) {
        logEvent(Event::RequestQuarantined, {{"service", suspected.service}, {"fingerprint", suspected.fingerprint}});
    }
}

void scheduleCrashCheck(GateContext &gate, const SuspectedCrash &suspected)
{
    asio::spawn(gate.context, [&gate, suspected](const Yield &yield) {
        for (const Millis delay : BACKGROUND_CHECK_DELAYS) {
            asio::steady_timer timer(gate.context, toDuration(delay));
            timer.async_wait(yield);
            if (refusesConnections(gate, suspected.upstream, yield)) {
                return recordCrash(gate, suspected);
            }
        }
    });
}

} // namespace mustardpond
