/// Limit of the time that a request may wait for a slot.
#pragma once

#include "foundation/clock.h"

namespace mustardpond {

/// Values that currently limit the wait of one request.
struct QueueWaitLimits {
    Millis latencyTarget; ///< latency target of the class
    Millis serviceTime; ///< typical service time of the class; 0 if unknown
    Millis waited; ///< since the request arrived
    Millis timeLeft; ///< until the caller's deadline
    Millis untilStop; ///< until the router must have finished the request
    bool committed = false; ///< a running request waits for the answer, or this request may already have run
};

/// Returns the longest further wait after which the request can still succeed, or 0 if there is none. Under overload a
/// longer queue serves no more requests and makes all of them late, so a request does not wait beyond its latency
/// target. A committed request waits as long as it can still run in time, since its failure would waste
/// work already done.
Millis maxQueueWait(const QueueWaitLimits &limits);

} // namespace mustardpond
