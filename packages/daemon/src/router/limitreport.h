/// Logs what limits cost callers, at a bounded rate.
#pragma once

#include "foundation/clock.h"
#include "foundation/enumtable.h"
#include "foundation/events.h"

#include <cstdint>
#include <map>

namespace mustardpond {

/// Which limit cost a caller its request or its connection.
enum class LimitCause : std::uint8_t {
    BudgetFull, ///< 503: no room in the byte budget
    Evicted, ///< 408 or a reset: others needed the room of a caller that made no progress
    Stalled, ///< 502: a streamed body came too slowly and lost its slot
    IdleClosed, ///< an idle connection was closed in favour of a new one
    NoConnection, ///< a new connection was closed, as none was idle
};

constexpr EnumTable<LimitCause, 5> LIMIT_CAUSE_NAMES = {{
    {LimitCause::BudgetFull, "budget-full"},
    {LimitCause::Evicted, "evicted"},
    {LimitCause::Stalled, "stalled"},
    {LimitCause::IdleClosed, "idle-closed"},
    {LimitCause::NoConnection, "no-connection"},
}};

/// Logs one event for each cause and second with the number of cases since the last one, as hostile callers can cause
/// any number.
class LimitReport
{
public:
    void report(LimitCause cause, Millis now);

private:
    struct State {
        std::uint64_t cases = 0; ///< since the last event
        Millis loggedAt;
        bool logged = false;
    };

    std::map<LimitCause, State> m_states;
};

} // namespace mustardpond
