#include "callorigin.h"

#include "router.h"

namespace mustardpond {

namespace {

constexpr Millis REPORT_TIME{3000}; ///< from the start of a gate, within which most routers reach it
constexpr Millis MAX_WAIT{1000};
constexpr Millis CHECK_INTERVAL{20};

CallOrigin originOf(RunStatus status)
{
    switch (status) {
    case RunStatus::Running:
        return CallOrigin::Upstream;
    case RunStatus::Unknown:
        return CallOrigin::Unknown;
    case RunStatus::NotRunning:
        break;
    }
    return CallOrigin::Caller;
}

} // namespace

CallOrigin originOf(Router &router, const CallerMetadata &metadata, const RouteObject &route, const http::fields &head,
                    const Yield &yield)
{
    const RunningRequests *running = router.dispatchContext().running;
    if (!running || metadata.parentId.empty() || head.count(http::field::authorization) > 0) {
        return CallOrigin::Caller;
    }
    const auto config = router.view().config;
    const Millis timeout = config->longestDeadline();
    const auto currentOrigin = [running, &metadata, timeout] {
        return originOf(running->status(metadata.parentId, timeout));
    };
    CallOrigin origin = currentOrigin();
    const bool needsKey = config->organisations() && !route.keyExempt;
    if (!needsKey) {
        return origin;
    }
    const Millis deadline = router.clock().now() + MAX_WAIT;
    while (origin == CallOrigin::Unknown && running->age() < REPORT_TIME && router.clock().now() < deadline) {
        asio::steady_timer timer(router.context(), toDuration(CHECK_INTERVAL));
        ErrorCode ignored;
        timer.async_wait(yield[ignored]);
        origin = currentOrigin();
    }
    return origin;
}

} // namespace mustardpond
