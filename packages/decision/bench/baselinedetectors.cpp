#include "baselinedetectors.h"

#include <algorithm>
#include <numeric>

namespace mustardpond::bench {

namespace {

constexpr Millis HOLD{30000};
constexpr Millis PROBE_PERIOD{5000};
constexpr Millis WINDOW{1000};
constexpr int PROBE_FAILURES = 3;
constexpr int ERRORS_IN_ROW = 5;
constexpr int LEAST_WINDOW_REQUESTS = 3;
constexpr double FENCE = 3;
constexpr double LEAST_SPREAD = 0.1; ///< of the median, so that equal upstreams have no fence of zero width

struct Fence {
    double above = 0;
};

Fence fenceOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const double first = values[values.size() / 4];
    const double third = values[values.size() * 3 / 4];
    const double median = values[values.size() / 2];
    return {third + FENCE * std::max(third - first, LEAST_SPREAD * std::max(median, 0.05))};
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
        learn(upstream->second, result, serviceTime);
    }
    m_running.erase(running);
}

std::vector<HealthChange> RuleDetector::tick(Millis now)
{
    std::vector<HealthChange> changes;
    for (auto &[name, upstream] : m_upstreams) {
        if (upstream.ejected && now >= upstream.until) {
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
        upstream.until = now + HOLD;
        upstream.errorsInRow = 0;
        changes.push_back({HealthChangeKind::Ejected, name, "", 0, HOLD});
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
    double all = 0;
    double left = 0;
    double greatest = 0;
    for (const auto &[name, upstream] : m_upstreams) {
        all += upstream.slots;
        left += upstream.ejected ? 0 : upstream.slots;
        greatest = std::max(greatest, upstream.slots);
    }
    return left - greatest >= m_floor * all;
}

std::vector<std::string> ProbeDetector::suspects(Millis now)
{
    std::vector<std::string> names;
    if (now < m_nextProbe) {
        return names;
    }
    m_nextProbe = now + PROBE_PERIOD;
    for (auto &[name, upstream] : m_upstreams) {
        upstream.errorsInRow = m_answersProbes(name, now) ? 0 : upstream.errorsInRow + 1;
        if (upstream.errorsInRow >= PROBE_FAILURES) {
            names.push_back(name);
        }
    }
    return names;
}

void ConsecutiveErrorsDetector::learn(Upstream &upstream, AttemptResult result, Millis /*serviceTime*/)
{
    if (result != AttemptResult::Unjudged) {
        upstream.errorsInRow = result == AttemptResult::Answered ? 0 : upstream.errorsInRow + 1;
    }
}

std::vector<std::string> ConsecutiveErrorsDetector::suspects(Millis /*now*/)
{
    std::vector<std::string> names;
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.errorsInRow >= ERRORS_IN_ROW) {
            names.push_back(name);
        }
    }
    return names;
}

void QuartileDetector::learn(Upstream &upstream, AttemptResult result, Millis serviceTime)
{
    if (result == AttemptResult::Unjudged) {
        return;
    }
    ++upstream.requests;
    upstream.errors += result == AttemptResult::Answered ? 0 : 1;
    upstream.times.push_back(serviceTime.value);
}

std::vector<std::string> QuartileDetector::suspects(Millis now)
{
    std::vector<std::string> names;
    if (now < m_windowEnd) {
        return names;
    }
    m_windowEnd = now + WINDOW;
    std::vector<double> times;
    std::vector<double> errors;
    const auto meanTime = [](const Upstream &upstream) {
        return std::accumulate(upstream.times.begin(), upstream.times.end(), 0.0) / upstream.requests;
    };
    for (const auto &[name, upstream] : m_upstreams) {
        if (upstream.requests >= LEAST_WINDOW_REQUESTS) {
            times.push_back(meanTime(upstream));
            errors.push_back(static_cast<double>(upstream.errors) / upstream.requests);
        }
    }
    for (auto &[name, upstream] : m_upstreams) {
        if (upstream.requests >= LEAST_WINDOW_REQUESTS && times.size() >= 4) {
            const bool slow = meanTime(upstream) > fenceOf(times).above;
            const bool failing = static_cast<double>(upstream.errors) / upstream.requests > fenceOf(errors).above;
            if (slow || failing) {
                names.push_back(name);
            }
        }
        upstream.times.clear();
        upstream.errors = 0;
        upstream.requests = 0;
    }
    return names;
}

} // namespace mustardpond::bench
