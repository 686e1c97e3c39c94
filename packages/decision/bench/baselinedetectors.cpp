#include "baselinedetectors.h"

#include <algorithm>
#include <numeric>

namespace mustardpond::bench {

namespace {

constexpr Millis EJECTION_TIME{30000};
constexpr Millis PROBE_PERIOD{5000};
constexpr Millis WINDOW_LENGTH{1000};
constexpr int MIN_PROBE_FAILURES = 3;
constexpr int MIN_CONSECUTIVE_ERRORS = 5;
constexpr int MIN_WINDOW_REQUESTS = 3;
constexpr double FENCE_FACTOR = 3;
constexpr double MIN_SPREAD_RATIO = 0.1; ///< of the median; avoids a zero-width fence

struct Fence {
    double upper = 0;
};

Fence fenceOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const double first = values[values.size() / 4];
    const double third = values[values.size() * 3 / 4];
    const double median = values[values.size() / 2];
    return {third + FENCE_FACTOR * std::max(third - first, MIN_SPREAD_RATIO * std::max(median, 0.05))};
}

} // namespace

void RuleDetector::onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis /*now*/)
{
    const auto running = m_running.find(attempt);
    if (running == m_running.end()) {
        return;
    }
    const auto upstream = m_upstreams.find(running->second.upstream);
    if (upstream != m_upstreams.end()) {
        recordOutcome(upstream->second, result, serviceTime);
    }
    m_running.erase(running);
}

std::vector<HealthChange> RuleDetector::tick(Millis now)
{
    std::vector<HealthChange> changes;
    for (auto &[name, upstream] : m_upstreams) {
        if (upstream.ejected && now >= upstream.ejectedUntil) {
            upstream.ejected = false;
            changes.push_back({HealthChangeKind::Returned, name, "", 0, Millis()});
        }
    }
    for (const std::string &name : suspects(now)) {
        Upstream &upstream = m_upstreams[name];
        if (upstream.ejected || !floorAllows()) {
            continue;
        }
        upstream.ejected = true;
        upstream.ejectedUntil = now + EJECTION_TIME;
        upstream.consecutiveErrors = 0;
        changes.push_back({HealthChangeKind::Ejected, name, "", 0, EJECTION_TIME});
    }
    return changes;
}

double RuleDetector::weight(const std::string &upstream, const std::string & /*workClass*/, Millis /*now*/) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() || found->second.ejected ? 0 : 1;
}

bool RuleDetector::floorAllows() const
{
    double total = 0;
    double remaining = 0;
    double maxSlots = 0;
    for (const auto &[name, upstream] : m_upstreams) {
        total += upstream.slots;
        remaining += upstream.ejected ? 0 : upstream.slots;
        maxSlots = std::max(maxSlots, upstream.slots);
    }
    return remaining - maxSlots >= m_floor * total;
}

std::vector<std::string> ProbeDetector::suspects(Millis now)
{
    std::vector<std::string> names;
    if (now < m_nextProbe) {
        return names;
    }
    m_nextProbe = now + PROBE_PERIOD;
    for (auto &[name, upstream] : m_upstreams) {
        upstream.consecutiveErrors = m_answersProbes(name, now) ? 0 : upstream.consecutiveErrors + 1;
        if (upstream.consecutiveErrors >= MIN_PROBE_FAILURES) {
            names.push_back(name);
        }
    }
    return names;
}

void ConsecutiveErrorsDetector::recordOutcome(Upstream &upstream, AttemptResult result, Millis /*serviceTime*/)
{
    if (result != AttemptResult::Unjudged) {
        upstream.consecutiveErrors = result == AttemptResult::Answered ? 0 : upstream.consecutiveErrors + 1;
    }
}

std::vector<std::string> ConsecutiveErrorsDetector::suspects(Millis /*now*/)
{
    std::vector<std::string> names;
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.consecutiveErrors >= MIN_CONSECUTIVE_ERRORS) {
            names.push_back(name);
        }
    }
    return names;
}

void QuartileDetector::recordOutcome(Upstream &upstream, AttemptResult result, Millis serviceTime)
{
    if (result == AttemptResult::Unjudged) {
        return;
    }
    ++upstream.requests;
    upstream.errors += result == AttemptResult::Answered ? 0 : 1;
    upstream.serviceTimes.push_back(serviceTime.value);
}

std::vector<std::string> QuartileDetector::suspects(Millis now)
{
    std::vector<std::string> names;
    if (now < m_windowEnd) {
        return names;
    }
    m_windowEnd = now + WINDOW_LENGTH;
    std::vector<double> serviceTimes;
    std::vector<double> errors;
    const auto meanServiceTime = [](const Upstream &upstream) {
        return std::accumulate(upstream.serviceTimes.begin(), upstream.serviceTimes.end(), 0.0) / upstream.requests;
    };
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.requests >= MIN_WINDOW_REQUESTS) {
            serviceTimes.push_back(meanServiceTime(upstream));
            errors.push_back(static_cast<double>(upstream.errors) / upstream.requests);
        }
    }
    for (auto &[name, upstream] : m_upstreams) {
        if (upstream.requests >= MIN_WINDOW_REQUESTS && serviceTimes.size() >= 4) {
            const bool slow = meanServiceTime(upstream) > fenceOf(serviceTimes).upper;
            const bool failing = static_cast<double>(upstream.errors) / upstream.requests > fenceOf(errors).upper;
            if (slow || failing) {
                names.push_back(name);
            }
        }
        upstream.serviceTimes.clear();
        upstream.errors = 0;
        upstream.requests = 0;
    }
    return names;
}

} // namespace mustardpond::bench
