/// Tells whether an upstream crashed while a request ran there, for the quarantine.
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

/// Looks now and once more shortly afterwards: a dying process may close its connections before its listener.
bool hasJustCrashed(GateContext &gate, const SuspectedCrash &suspected, const Yield &yield);

/// Counts the crash against the request, here and at the other daemons.
void noteCrash(GateContext &gate, const SuspectedCrash &suspected);

/// Looks a few times within the next second, in the background, and notes the crash if there was one.
void checkCrashLater(GateContext &gate, const SuspectedCrash &suspected);

} // namespace mustardpond
