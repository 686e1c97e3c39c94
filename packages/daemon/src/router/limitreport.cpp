#include "limitreport.h"

#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

constexpr Millis LOG_INTERVAL{1000};

Event eventOf(LimitCause cause)
{
    switch (cause) {
    case LimitCause::BudgetFull:
        return Event::BodyRefused;
    case LimitCause::Evicted:
        return Event::CallerEvicted;
    case LimitCause::Stalled:
        return Event::BodyStalled;
    case LimitCause::IdleClosed:
    case LimitCause::NoConnection:
        break;
    }
    return Event::ConnectionsFull;
}

} // namespace

void LimitReport::report(LimitCause cause, Millis now)
{
    State &state = m_states[cause];
    ++state.cases;
    if (state.logged && now - state.loggedAt < LOG_INTERVAL) {
        return;
    }
    logEvent(eventOf(cause), {{"cause", nameOf(LIMIT_CAUSE_NAMES, cause)}, {"cases", state.cases}});
    state = {0, now, true};
}

} // namespace mustardpond
