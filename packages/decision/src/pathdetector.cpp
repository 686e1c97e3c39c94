#include "decision/pathdetector.h"

#include <algorithm>
#include <utility>

namespace mustardpond {

namespace {

constexpr Millis INITIAL_AVOID_TIME{400};
constexpr Millis MAX_AVOID_TIME{3200};
constexpr Millis SUSPECT_AVOID_TIME{500}; ///< until a gate that suspects its upstream is tried again

Millis avoidTimeAfter(int failures)
{
    const int doublings = std::min(failures - 1, 3);
    return Millis(std::min(MAX_AVOID_TIME.value, INITIAL_AVOID_TIME.value * (1 << doublings)));
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
    const Millis avoidTime = avoidTimeAfter(++path->second.failures);
    path->second.avoidUntil = now + avoidTime;
    m_changes.push_back(
        {HealthChangeKind::Ejected, upstream, "", static_cast<double>(path->second.failures), avoidTime});
}

void PathDetector::onGateSuspicion(const std::string &upstream, const std::string & /*workClass*/, Millis now)
{
    const auto path = m_paths.find(upstream);
    if (path != m_paths.end()) {
        path->second.avoidUntil = now + SUSPECT_AVOID_TIME;
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
