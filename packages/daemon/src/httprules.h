/// Rules of HTTP that router and gate share.
#pragma once

#include "decision/detector.h"
#include "net/net.h"

namespace mustardpond {

/// Whether a field concerns one connection only and is not passed on.
bool isHopByHop(http::field name);

/// What a status says of the upstream; shedding (503) says nothing.
AttemptResult resultOfStatus(unsigned status);

/// Whether the status is an error of the server.
bool isServerError(unsigned status);

} // namespace mustardpond
