/// Detects, for the quarantine, whether an upstream crashed while it ran a request.
#pragma once

#include "gatecontext.h"

#include <cstdint>
#include <string>

namespace mustardpond {

/// A request whose exchange failed.
struct SuspectedCrash {
    Endpoint upstream;
    std::string service;
    std::uint64_t fingerprint = 0; ///< of the request
};

/// Checks now and once more shortly afterwards: a dying process may close its connections before its listener.
bool hasJustCrashed(GateContext &gate, const SuspectedCrash &suspected, const Yield &yield);

/// Counts the crash against the request, here and at the other daemons.
void recordCrash(GateContext &gate, const SuspectedCrash &suspected);

/// Checks several times within the next second, in the background, and records a crash if there was one.
void scheduleCrashCheck(GateContext &gate, const SuspectedCrash &suspected);

} // namespace mustardpond
