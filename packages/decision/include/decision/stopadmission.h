/// Admission of requests that arrive late in the planned stop of a router.
#pragma once

#include "foundation/clock.h"

namespace mustardpond {

/// A request that has not been passed on yet.
struct LateRequest {
    Millis timeLeft; ///< until the caller's deadline
    Millis untilStop; ///< until the router must have finished the request
    Millis serviceTime; ///< typical service time of the class; 0 if unknown
    Millis latencyTarget; ///< latency target of the class
    bool inner = false; ///< a running request waits for the answer
};

/// Whether a stopping router may still take a request. A typical run that fits is not enough: an irreversible request
/// that is broken off has run, and its answer is lost. So the request must end before the stop even if its upstream
/// takes all the time that the caller allows. An inner call may be repeated, and refusing it fails the running request
/// that waits for it, so a long run has to fit and no more. Answers the load of a planned stop, per request.
bool endsBeforeStop(const LateRequest &request);

} // namespace mustardpond
