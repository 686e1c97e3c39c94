/// HTTP rules shared by router and gate.
#pragma once

#include "decision/detector.h"
#include "net/net.h"

namespace mustardpond {

/// Whether a header field applies to a single connection and is not forwarded.
bool isHopByHop(http::field name);

/// Classifies a status as evidence about the upstream. Load shedding (503) and a passed deadline (504) are none.
AttemptResult resultOfStatus(unsigned status);

/// Whether the status is 500 or above.
bool isServerError(unsigned status);

} // namespace mustardpond
