/// How long a request may wait for a slot.
#pragma once

#include "foundation/clock.h"

namespace mustardpond {

/// What bounds the wait of one request, at this moment.
struct QueueWaitLimits {
    Millis latencyTarget; ///< latency target of the class
    Millis serviceTime; ///< usual service time of the class; 0 when unknown
    Millis waited; ///< since the request arrived
    Millis timeLeft; ///< until the caller's deadline
    Millis untilStop; ///< until the router has to be done with the request
    bool committed = false; ///< a running request waits for the answer, or this one has been sent before
};

/// Longest further wait that can end well; 0 when none can. Under overload a longer queue serves no more requests, only
/// all of them late, so a request does not wait beyond its target. One that work already done depends on waits as long
/// as it could still run in time: its failure would waste that work.
Millis maxQueueWait(const QueueWaitLimits &limits);

} // namespace mustardpond
