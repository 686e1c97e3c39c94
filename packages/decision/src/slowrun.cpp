#include "decision/slowrun.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double SERVICE_TIME_RATIO = 3;
constexpr double TARGET_RATIO = 0.5; ///< of the latency target, before which no run counts as slow
constexpr Millis MIN_TIMEOUT{350};

} // namespace

Millis slowRunTimeout(const SlowRunLimits &limits)
{
    // Without a known service time, no run counts as slow before the latency target.
    const double targetRatio = limits.serviceTime > Millis() ? TARGET_RATIO : 1;
    const Millis minTimeout = std::max(MIN_TIMEOUT, limits.latencyTarget * targetRatio);
    return std::max(minTimeout, limits.serviceTime * SERVICE_TIME_RATIO) + limits.responseTime;
}

bool mayReplaceSlowRun(const SlowRunState &state)
{
    // In a planned stop, a run that is begun now may not end in time.
    return !state.answerBegins && !state.stopping && state.hasRetry && !state.crashSuspect;
}

} // namespace mustardpond
