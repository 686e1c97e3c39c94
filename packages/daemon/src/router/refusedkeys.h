/// Counts requests that are refused for their key, and logs that there are some.
#pragma once

#include "callerauthentication.h"
#include "metrics.h"

namespace mustardpond {

/// Callers decide how often they send wrong keys, so one event is logged a second at most. It gives the number of
/// refusals since the one before.
class RefusedKeys
{
public:
    explicit RefusedKeys(Metrics &metrics)
        : m_metrics(metrics)
    {
    }

    void add(KeyProblem problem, const std::string &service, Millis now);

private:
    Metrics &m_metrics;
    std::optional<Millis> m_loggedAt;
    std::uint64_t m_unloggedRefusals = 0;
};

} // namespace mustardpond
