#include "decision/sequentialdetector.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

const std::string PATH_KEY; // NOLINT(cert-err58-cpp)
constexpr double RETURN_SCORE_RATIO = 0.5; ///< of the ejection threshold, so that a relapse is detected quickly
constexpr Millis SHARED_CAUSE_WINDOW{2000}; ///< ejections and suspicions within it count as one event
constexpr Millis EJECTION_SUSPENSION{3000}; ///< no ejections after a shared cause
constexpr double MIN_SHARED_CAUSE_RATIO = 0.3; ///< of the upstreams, which must fail together
constexpr double MIN_SHARED_CAUSE_UPSTREAMS = 3;
constexpr double ROUTER_SCORE_MARGIN = 3; ///< above the gate's: a router sees fewer requests, and their queueing
constexpr double INITIAL_RETURN_WEIGHT = 0.05;
constexpr double BACKOFF_RESET_FACTOR = 10; ///< healthy time until the back-off resets, in initial ejection times

} // namespace

DetectionProfile profileForCost(double lateDetectionCost)
{
    constexpr double BASE_SCORE = 11;
    DetectionProfile profile;
    profile.ejectionThreshold = std::max(4.0, BASE_SCORE - std::log(std::max(lateDetectionCost, 1e-3)));
    return profile;
}

SequentialDetector::SequentialDetector(DetectionProfile profile)
    : m_profile(profile)
{
}

void SequentialDetector::setUpstream(const std::string &upstream, double slots)
{
    m_upstreams[upstream].slots = slots;
}

void SequentialDetector::removeUpstream(const std::string &upstream)
{
    m_upstreams.erase(upstream);
    for (auto &[name, baseline] : m_baselines) {
        baseline.removeUpstream(upstream);
    }
}

void SequentialDetector::onStart(const AttemptStart &start, Millis now)
{
    m_running[start.attempt] = {start, now, false, false};
}

void SequentialDetector::onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    const Running running = found->second;
    m_running.erase(found);
    if (result == AttemptResult::Unjudged) {
        return;
    }
    addToBaseline(running.start.upstream, PATH_KEY, result == AttemptResult::PathFailed, now);
    addToCusum(running.start.upstream, PATH_KEY, result == AttemptResult::PathFailed, now);
    if (result == AttemptResult::PathFailed) {
        return;
    }
    ClassBaseline &baseline = m_baselines[running.start.workClass];
    const bool slow = serviceTime > baseline.slowThreshold(running.start.latencyTarget);
    const bool bad = result != AttemptResult::Answered || slow;
    if (result == AttemptResult::Answered) {
        baseline.addServiceTime(serviceTime);
    }
    if (!running.countedInBaseline) {
        addToBaseline(running.start.upstream, running.start.workClass, bad, now);
    }
    if (!running.countedInCusum) {
        addToCusum(running.start.upstream, running.start.workClass, bad, now);
    }
}

void SequentialDetector::addToBaseline(const std::string &upstream, const std::string &workClass, bool bad, Millis now)
{
    if (m_upstreams.count(upstream) > 0) {
        m_baselines[workClass].addOutcome(upstream, bad, now);
    }
}

void SequentialDetector::addToCusum(const std::string &upstream, const std::string &workClass, bool bad, Millis now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    ClassState &state = found->second.classes[workClass];
    state.cusum.add(bad, m_baselines[workClass].peerBadShare(upstream, now));
    const bool longHealthy = now - state.returnedAt > m_profile.initialEjectionTime * BACKOFF_RESET_FACTOR;
    if (longHealthy && !state.ejected && !state.cusum.hasBadOutcome()) {
        state.recentEjections = 0;
        state.recentlyReturned = false;
    }
}

void SequentialDetector::onGateSuspicion(const std::string &upstream, const std::string &workClass, Millis /*now*/)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    found->second.classes[workClass].suspectedByGate = true;
}

PeerBaseline SequentialDetector::peerBaseline(const std::string &upstream, const std::string &workClass,
                                              Millis latencyTarget, Millis now) const
{
    const auto found = m_baselines.find(workClass);
    if (found == m_baselines.end()) {
        return {latencyTarget, 0};
    }
    return {found->second.slowThreshold(latencyTarget), found->second.peerBadShare(upstream, now)};
}

bool SequentialDetector::mustServe(const std::string &upstream, const std::string &workClass) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return false;
    }
    const auto state = found->second.classes.find(workClass);
    return m_ejectionsSuspendedUntil.count(workClass) > 0
        || (state != found->second.classes.end() && state->second.heldByFloor);
}

std::vector<HealthChange> SequentialDetector::tick(Millis now)
{
    m_changes.clear();
    checkRunning(now);
    endEjections(now);
    ejectSuspects(now);
    return m_changes;
}

void SequentialDetector::checkRunning(Millis now)
{
    for (auto &[attempt, running] : m_running) {
        const AttemptStart &start = running.start;
        const Millis age = now - running.startedAt;
        if (!running.countedInBaseline && age > m_baselines[start.workClass].slowThreshold(start.latencyTarget)) {
            running.countedInBaseline = true;
            addToBaseline(start.upstream, start.workClass, true, now);
        }
        // The gate compares running requests with the baseline. A router's view includes queueing, so it allows the
        // latency target.
        if (!running.countedInCusum && age > start.latencyTarget) {
            running.countedInCusum = true;
            addToCusum(start.upstream, start.workClass, true, now);
        }
    }
}

void SequentialDetector::endEjections(Millis now)
{
    for (auto suspension = m_ejectionsSuspendedUntil.begin(); suspension != m_ejectionsSuspendedUntil.end();) {
        suspension = now >= suspension->second ? m_ejectionsSuspendedUntil.erase(suspension) : std::next(suspension);
    }
    for (auto &[name, upstream] : m_upstreams) {
        for (auto &[workClass, state] : upstream.classes) {
            if (!state.ejected || now < state.ejectedUntil) {
                continue;
            }
            state.ejected = false;
            state.recentlyReturned = true;
            state.returnedAt = now;
            state.cusum.clear();
            m_changes.push_back({HealthChangeKind::Returned, name, workClass, 0, Millis()});
        }
    }
}

double SequentialDetector::ejectionScore() const
{
    return m_profile.ejectionThreshold + ROUTER_SCORE_MARGIN;
}

double SequentialDetector::scoreOf(const std::string &upstream, const std::string &workClass, const ClassState &state,
                                   Millis now) const
{
    const auto baseline = m_baselines.find(workClass);
    const double peerBadShare = baseline == m_baselines.end() ? 0 : baseline->second.peerBadShare(upstream, now);
    const double ownScore = state.cusum.score(peerBadShare) * (state.recentlyReturned ? 1 / RETURN_SCORE_RATIO : 1);
    return state.suspectedByGate ? std::max(ownScore, ejectionScore()) : ownScore;
}

std::vector<SequentialDetector::Suspect> SequentialDetector::findSuspects(Millis now)
{
    std::vector<Suspect> suspects;
    for (auto &[name, upstream] : m_upstreams) {
        for (auto &[workClass, state] : upstream.classes) {
            const double score = scoreOf(name, workClass, state, now);
            if (!state.ejected && score >= ejectionScore()) {
                suspects.push_back({score, name, workClass, &state});
            } else {
                state.heldByFloor = state.heldByFloor && !state.ejected && score > 0;
            }
        }
    }
    std::sort(suspects.begin(), suspects.end(), [](const Suspect &a, const Suspect &b) { return a.score > b.score; });
    return suspects;
}

void SequentialDetector::ejectSuspects(Millis now)
{
    const std::vector<Suspect> suspects = findSuspects(now);
    for (const Suspect &suspect : suspects) {
        if (hasSharedCause(suspect.workClass, suspects, now)) {
            suspendEjections(suspect.workClass, now);
        } else if (m_ejectionsSuspendedUntil.count(suspect.workClass) == 0) {
            eject(suspect.name, suspect.workClass, *suspect.state, now);
        }
        suspect.state->suspectedByGate = false;
    }
}

bool SequentialDetector::hasSharedCause(const std::string &workClass, const std::vector<Suspect> &suspects,
                                        Millis now) const
{
    double count = 0;
    for (const Suspect &suspect : suspects) {
        count += suspect.workClass == workClass && !suspect.state->ejected ? 1 : 0;
    }
    for (const auto &[name, upstream] : m_upstreams) {
        const auto state = upstream.classes.find(workClass);
        const bool ejectedRecently = state != upstream.classes.end() && state->second.ejected
            && now - state->second.ejectedAt < SHARED_CAUSE_WINDOW;
        count += ejectedRecently ? 1 : 0;
    }
    return count
        >= std::max(MIN_SHARED_CAUSE_UPSTREAMS, MIN_SHARED_CAUSE_RATIO * static_cast<double>(m_upstreams.size()));
}

void SequentialDetector::suspendEjections(const std::string &workClass, Millis now)
{
    m_ejectionsSuspendedUntil[workClass] = now + EJECTION_SUSPENSION;
    m_changes.push_back({HealthChangeKind::SharedCause, "", workClass, 0, EJECTION_SUSPENSION});
    for (auto &[name, upstream] : m_upstreams) {
        const auto found = upstream.classes.find(workClass);
        if (found == upstream.classes.end()) {
            continue;
        }
        ClassState &state = found->second;
        if (state.ejected && now - state.ejectedAt < SHARED_CAUSE_WINDOW) {
            state.ejected = false;
            m_changes.push_back({HealthChangeKind::Returned, name, workClass, 0, Millis()});
        }
        state.cusum.clear();
        state.suspectedByGate = false;
    }
}

void SequentialDetector::eject(const std::string &name, const std::string &workClass, ClassState &state, Millis now)
{
    if (!floorAllows(name, workClass)) {
        if (!state.heldByFloor) {
            m_changes.push_back(
                {HealthChangeKind::HeldByFloor, name, workClass, scoreOf(name, workClass, state, now), Millis()});
        }
        state.heldByFloor = true;
        return;
    }
    const double backoff = std::pow(2.0, std::min(state.recentEjections, 10));
    const Millis ejectionTime(std::min(m_profile.initialEjectionTime.value * backoff, m_profile.maxEjectionTime.value));
    m_changes.push_back(
        {HealthChangeKind::Ejected, name, workClass, scoreOf(name, workClass, state, now), ejectionTime});
    state.ejected = true;
    state.ejectedAt = now;
    state.heldByFloor = false;
    state.ejectedUntil = now + ejectionTime;
    ++state.recentEjections;
}

bool SequentialDetector::floorAllows(const std::string &upstream, const std::string &workClass) const
{
    double total = 0;
    double remaining = 0;
    for (const auto &[name, entry] : m_upstreams) {
        total += entry.slots;
        const bool unavailable = name == upstream || isEjected(entry, workClass);
        remaining += unavailable ? 0 : entry.slots;
    }
    return remaining > 0 && remaining >= m_floor * total;
}

bool SequentialDetector::isEjected(const Upstream &upstream, const std::string &workClass) const
{
    const bool isPath = workClass == PATH_KEY;
    return std::any_of(upstream.classes.begin(), upstream.classes.end(), [&](const auto &entry) {
        const bool applies = isPath || entry.first == workClass || entry.first == PATH_KEY;
        return applies && entry.second.ejected;
    });
}

double SequentialDetector::weight(const std::string &upstream, const std::string &workClass, Millis now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return 0;
    }
    double weight = 1;
    for (const std::string &name : {PATH_KEY, workClass}) {
        const auto state = found->second.classes.find(name);
        if (state != found->second.classes.end()) {
            weight = std::min(weight, weightOf(state->second, now));
        }
    }
    return weight;
}

double SequentialDetector::weightOf(const ClassState &state, Millis now) const
{
    if (state.ejected) {
        return 0;
    }
    const double ramp = (now - state.returnedAt) / m_profile.slowStart;
    return std::clamp(ramp, INITIAL_RETURN_WEIGHT, 1.0);
}

} // namespace mustardpond
