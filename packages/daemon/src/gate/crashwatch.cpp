#include "crashwatch.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <array>

namespace mustardpond {

namespace {

constexpr Millis CHECK_TIMEOUT{200};
constexpr Millis RECHECK{20};
constexpr std::array<Millis, 3> LATER_CHECKS = {Millis(100), Millis(300), Millis(600)};

bool hasCrashed(GateContext &gate, const Endpoint &upstream, const Yield &yield)
{
    try {
        gate.client.open(upstream, true, CHECK_TIMEOUT, yield);
        return false;
    } catch (const boost::system::system_error &error) {
        return error.code() == asio::error::connection_refused;
    }
}

} // namespace

bool hasJustCrashed(GateContext &gate, const SuspectedCrash &suspected, const Yield &yield)
{
    if (hasCrashed(gate, suspected.upstream, yield)) {
        return true;
    }
    asio::steady_timer timer(gate.context, toDuration(RECHECK));
    timer.async_wait(yield);
    return hasCrashed(gate, suspected.upstream, yield);
}

void noteCrash(GateContext &gate, const SuspectedCrash &suspected)
{
    const auto status = gate.quarantine.onCrash(suspected.fingerprint, gate.clock.now());
    if (gate.reportCrash) {
        gate.reportCrash(suspected.fingerprint);
    }
    if (status == QuarantineStatus::Quarantined) {
        logEvent(Event::RequestQuarantined, {{"service", suspected.service}, {"fingerprint", suspected.fingerprint}});
    }
}

void checkCrashLater(GateContext &gate, const SuspectedCrash &suspected)
{
    asio::spawn(gate.context, [&gate, suspected](const Yield &yield) {
        for (const Millis wait : LATER_CHECKS) {
            asio::steady_timer timer(gate.context, toDuration(wait));
            timer.async_wait(yield);
            if (hasCrashed(gate, suspected.upstream, yield)) {
                return noteCrash(gate, suspected);
            }
        }
    });
}

} // namespace mustardpond
