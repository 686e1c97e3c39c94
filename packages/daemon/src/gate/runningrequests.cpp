#include "runningrequests.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t MAX_KEPT_RUNS = 8192;

} // namespace

RunningRequests::RunningRequests(const Clock &clock)
    : m_clock(clock)
    , m_startedAt(clock.now())
    , m_runs(clock, MAX_KEPT_RUNS)
{
}

void RunningRequests::restore(const UpstreamStart &upstream, const RequestKey &key, Millis deadline)
{
    m_runs.keep(upstream, key, deadline);
}

RunStatus RunningRequests::status(const std::string &id, Millis longestTimeout) const
{
    if (id.empty()) {
        return RunStatus::NotRunning;
    }
    if (mayRun(id)) {
        return RunStatus::Running;
    }
    const Millis incompleteUntil =
        std::max(m_startedAt + longestTimeout + RUN_DEADLINE_SLACK, m_runs.incompleteUntil());
    return m_clock.now() < incompleteUntil ? RunStatus::Unknown : RunStatus::NotRunning;
}

bool RunningRequests::mayRun(const std::string &id) const
{
    const RequestKey key = keyOfRequest(id);
    return std::any_of(m_runs.places().begin(), m_runs.places().end(), [this, &key](const auto &place) {
        return m_runs.mayRun(place.second, key) && !(m_hasEnded && m_hasEnded(place.first));
    });
}

} // namespace mustardpond
