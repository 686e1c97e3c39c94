#include "decision/waitlimit.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double TYPICAL_MARGIN = 1.2; ///< usual run times that a request needs after its wait
constexpr Millis LEAST_WAITING{300}; ///< even where the target leaves no time, a slot may come free soon

} // namespace

Millis longestWait(const WaitBounds &bounds)
{
    const Millis run = bounds.typical * TYPICAL_MARGIN;
    const Millis latest = std::min(bounds.left, bounds.untilStop) - run;
    if (bounds.committed) {
        return std::max(Millis(), latest);
    }
    const Millis wanted = std::max(bounds.target - bounds.typical, LEAST_WAITING) - bounds.waited;
    return std::max(Millis(), std::min(latest, wanted));
}

} // namespace mustardpond
