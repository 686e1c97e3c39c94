/// Callers' requests that upstreams of this host run, by the id that the caller gave.
#pragma once

#include "runtable.h"
#include "upstreamstart.h"

#include "foundation/enumtable.h"

#include <functional>
#include <string>

namespace mustardpond {

/// What a gate knows of a request that it may have handed to an upstream.
enum class RunStatus : std::uint8_t {
    NotRunning,
    Running, ///< or may run, as its end was not seen
    Unknown, ///< an earlier process of the gate may have handed it to an upstream that still runs it
};

constexpr EnumTable<RunStatus, 3> RUN_STATUS_NAMES = {{
    {RunStatus::NotRunning, "not-running"},
    {RunStatus::Running, "running"},
    {RunStatus::Unknown, "unknown"},
}};

/// A request counts as running until its upstream has answered it, also after its caller has left or the connection to
/// the upstream was closed: not every upstream drops a request then. It ends with its deadline or with the upstream's
/// start at the latest. Not thread-safe.
class RunningRequests
{
public:
    using Handle = RunTable<UpstreamStart>::Handle;
    /// Returns whether a start of an upstream is known to have ended.
    using EndedCheck = std::function<bool(const UpstreamStart &)>;

    explicit RunningRequests(const Clock &clock);

    void setEndedCheck(EndedCheck check)
    {
        m_hasEnded = std::move(check);
    }
    Handle begin(const UpstreamStart &upstream, const std::string &id, Millis deadline)
    {
        return m_runs.begin(upstream, id, deadline);
    }
    /// Adds a request that an earlier process of this gate has handed to an upstream.
    void restore(const UpstreamStart &upstream, const RequestKey &key, Millis deadline);
    /// @param longestTimeout of all requests; the runs of an earlier process end by then
    RunStatus status(const std::string &id, Millis longestTimeout) const;
    /// Returns the time since this process has started.
    Millis age() const
    {
        return m_clock.now() - m_startedAt;
    }

private:
    bool mayRun(const std::string &id) const;

    const Clock &m_clock;
    Millis m_startedAt;
    RunTable<UpstreamStart> m_runs;
    EndedCheck m_hasEnded;
};

} // namespace mustardpond
