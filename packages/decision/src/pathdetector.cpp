#include "decision/pathdetector.h"

#include <algorithm>
#include <utility>

namespace mustardpond {

namespace {

constexpr Millis FIRST_AVOIDANCE{400};
constexpr Millis LONGEST_AVOIDANCE{3200};
constexpr Millis SUSPECT_AVOIDANCE{500}; ///< until a gate is asked again that does not trust its upstream

Millis avoidanceAfter(int failures)
{
    const int doublings = std::min(failures - 1, 3);
    return Millis(std::min(LONGEST_AVOIDANCE.value, FIRST_AVOIDANCE.value * (1 << doublings)));
}

} // namespace

void PathDetector::setUpstream(const std::string &upstream, double /*slots*/)
{
    m_paths[upstream];
}

void PathDetector::removeUpstream(const std::string &upstream)
{
    m_paths.erase(upstream);
}

void PathDetector::setFloor(double /*floor*/) { }

void PathDetector::onStart(const AttemptStart &start, Millis /*now*/)
{
    m_running[start.attempt] = start.upstream;
}

void PathDetector::onFinish(std::uint64_t attempt, AttemptResult result, Millis /*serviceTime*/, Millis now)
{
    const auto running = m_running.find(attempt);
    if (running == m_running.end()) {
        return;
    }
    const std::string upstream = std::move(running->second);
    m_running.erase(running);
    const auto path = m_paths.find(upstream);
    if (path == m_paths.end() || result == AttemptResult::TimedOut) {
        return;
    }
    if (result != AttemptResult::PathFailed) {
        path->second = {};
        return;
    }
    const Millis hold = avoidanceAfter(++path->second.failures);
    path->second.avoidUntil = now + hold;
    m_changes.push_back({HealthChangeKind::Ejected, upstream, "", static_cast<double>(path->second.failures), hold});
}

void PathDetector::onGateSuspicion(const std::string &upstream, const std::string & /*workClass*/, Millis now)
{
    const auto path = m_paths.find(upstream);
    if (path != m_paths.end()) {
        path->second.avoidUntil = now + SUSPECT_AVOIDANCE;
    }
}

std::vector<HealthChange> PathDetector::tick(Millis /*now*/)
{
    return std::exchange(m_changes, {});
}

double PathDetector::weight(const std::string &upstream, const std::string & /*workClass*/, Millis now) const
{
    const auto path = m_paths.find(upstream);
    return path == m_paths.end() || now >= path->second.avoidUntil ? 1 : 0;
}

} // namespace mustardpond
