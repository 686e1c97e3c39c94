/// Distinguishes the calls that the upstream beside the router makes from the requests of callers.
#pragma once

#include "callerdialect.h"
#include "config/configsnapshot.h"
#include "foundation/enumtable.h"

namespace mustardpond {

class Router;

/// Who has sent a request. Callers share the host's address with the upstream, so the address does not tell.
enum class CallOrigin : std::uint8_t {
    Caller,
    Upstream, ///< on behalf of a request that it runs
    Unknown, ///< the request that it names may run since before the start of this process
};

constexpr EnumTable<CallOrigin, 3> CALL_ORIGIN_NAMES = {{
    {CallOrigin::Caller, "caller"},
    {CallOrigin::Upstream, "upstream"},
    {CallOrigin::Unknown, "unknown"},
}};

/// A request with a key is a caller's, as upstreams do not have the keys: they are not passed on. Where it depends on
/// the origin whether a request is served, waits for a short time after the start, in which routers tell the gate what
/// they have sent to an earlier process of it.
CallOrigin originOf(Router &router, const CallerMetadata &metadata, const RouteObject &route, const http::fields &head,
                    const Yield &yield);

} // namespace mustardpond
