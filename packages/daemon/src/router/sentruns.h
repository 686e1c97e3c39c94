/// Requests that this router has sent to gates and whose upstreams may run them.
#pragma once

#include "decision/operationid.h"
#include "runtable.h"
#include "upstreamstart.h"

#include <string>
#include <tuple>

namespace mustardpond {

/// Where a request was sent.
struct RunPlace {
    std::string gate; ///< inner address
    Incarnation incarnation; ///< of the gate's process
    UpstreamStart upstream;
};

inline bool operator<(const RunPlace &a, const RunPlace &b)
{
    return std::tie(a.gate, a.incarnation, a.upstream) < std::tie(b.gate, b.incarnation, b.upstream);
}

using SentRuns = RunTable<RunPlace>;
using SentRun = SentRuns::Handle;

constexpr std::size_t MAX_KEPT_SENT_RUNS = 8192;

} // namespace mustardpond
