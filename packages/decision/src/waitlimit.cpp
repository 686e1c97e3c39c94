#include "decision/waitlimit.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double TYPICAL_MARGIN = 1.2; ///< usual run times that a request needs after its wait
constexpr Millis LEAST_WAITING{300}; ///< even where the target leaves no time, a slot may come free soon

} // namespace

Millis maxQueueWait(const QueueWaitLimits &limits)
{
    const Millis run = limits.serviceTime * TYPICAL_MARGIN;
    const Millis latest = std::min(limits.timeLeft, limits.untilStop) - run;
    if (limits.committed) {
        return std::max(Millis(), latest);
    }
    const Millis wanted = std::max(limits.latencyTarget - limits.serviceTime, LEAST_WAITING) - limits.waited;
    return std::max(Millis(), std::min(latest, wanted));
}

} // namespace mustardpond
