#include "decision/waitlimit.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double SERVICE_TIME_FACTOR = 1.2; ///< typical service times to allow for the run after the wait
constexpr Millis MIN_WAIT_LIMIT{300}; ///< even if the target leaves no time, since a slot may become free soon

} // namespace

Millis maxQueueWait(const QueueWaitLimits &limits)
{
    const Millis timeForRun = limits.serviceTime * SERVICE_TIME_FACTOR;
    const Millis untilLatestStart = std::min(limits.timeLeft, limits.untilStop) - timeForRun;
    if (limits.committed) {
        return std::max(Millis(), untilLatestStart);
    }
    const Millis untilTarget = std::max(limits.latencyTarget - limits.serviceTime, MIN_WAIT_LIMIT) - limits.waited;
    return std::max(Millis(), std::min(untilLatestStart, untilTarget));
}

} // namespace mustardpond
