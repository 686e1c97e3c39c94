#include "refusedkeys.h"

#include "foundation/events.h"

#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

constexpr Millis LOG_INTERVAL{1000};

} // namespace

void RefusedKeys::add(KeyProblem problem, const std::string &service, Millis now)
{
    m_metrics.addUnauthenticated(std::string(nameOf(KEY_PROBLEM_NAMES, problem)));
    ++m_unloggedRefusals;
    if (m_loggedAt && now - *m_loggedAt < LOG_INTERVAL) {
        return;
    }
    logEvent(Event::CallerUnauthenticated,
             {{"cause", nameOf(KEY_PROBLEM_NAMES, problem)}, {"service", service}, {"refused", m_unloggedRefusals}});
    m_loggedAt = now;
    m_unloggedRefusals = 0;
}

} // namespace mustardpond
