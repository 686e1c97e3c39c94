/// When a run counts as slow, and when another upstream may replace it.
#pragma once

#include "foundation/clock.h"

namespace mustardpond {

struct SlowRunLimits {
    Millis latencyTarget; ///< of the request's class
    Millis serviceTime; ///< usual one of the class; 0 while it is unknown
    Millis responseTime; ///< longest time in which the gate responds
};

/// Returns the time without an answer after which a run counts as slow.
Millis slowRunTimeout(const SlowRunLimits &limits);

struct SlowRunState {
    bool answerBegins = false;
    bool stopping = false; ///< a planned stop of the router has begun
    bool hasRetry = false; ///< the retry budget allows another run
    bool crashSuspect = false; ///< the request may crash another upstream
};

/// Whether a slow run may be replaced by one at another upstream. It goes on until a slot there is granted: nothing is
/// lost when all upstreams are busy, and a planned stop does not meet a request without a run. Answers the load of gray
/// upstreams beside planned stops.
bool mayReplaceSlowRun(const SlowRunState &state);

} // namespace mustardpond
