#include "decision/sequentialdetector.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

const std::string PATH; // NOLINT(cert-err58-cpp)
constexpr double RETURN_SCORE_SHARE = 0.5; ///< of the eject score, so that a relapse is seen at once
constexpr Millis SHARED_WINDOW{2000}; ///< in which suspicions count as one event
constexpr Millis SHARED_PAUSE{3000}; ///< without ejections, after a shared cause was seen
constexpr double SHARED_SHARE = 0.3; ///< of the upstreams
constexpr double SHARED_LEAST = 3;
constexpr double ROUTER_CAUTION = 3; ///< score beyond the gate's: a router sees fewer requests, and their queues
constexpr double RETURN_WEIGHT = 0.05;
constexpr double FORGET_HOLDS = 10; ///< healthy time, in holds, after which holds start small again

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
    note(running.start.upstream, PATH, result == AttemptResult::PathFailed, now);
    judge(running.start.upstream, PATH, result == AttemptResult::PathFailed, now);
    if (result == AttemptResult::PathFailed) {
        return;
    }
    ClassBaseline &baseline = m_baselines[running.start.workClass];
    const bool slow = serviceTime > baseline.slowThreshold(running.start.latencyTarget);
    const bool bad = result != AttemptResult::Answered || slow;
    if (result == AttemptResult::Answered) {
        baseline.addServiceTime(serviceTime);
    }
    if (!running.noted) {
        note(running.start.upstream, running.start.workClass, bad, now);
    }
    if (!running.judged) {
        judge(running.start.upstream, running.start.workClass, bad, now);
    }
}

void SequentialDetector::note(const std::string &upstream, const std::string &workClass, bool bad, Millis now)
{
    if (m_upstreams.count(upstream) > 0) {
        m_baselines[workClass].addOutcome(upstream, bad, now);
    }
}

void SequentialDetector::judge(const std::string &upstream, const std::string &workClass, bool bad, Millis now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    Track &track = found->second.tracks[workClass];
    track.test.add(bad, m_baselines[workClass].peerBadShare(upstream, now));
    const bool longHealthy = now - track.returnedAt > m_profile.initialEjectionTime * FORGET_HOLDS;
    if (longHealthy && !track.ejected && !track.test.hasBad()) {
        track.recentEjections = 0;
        track.returning = false;
    }
}

void SequentialDetector::onGateSuspicion(const std::string &upstream, const std::string &workClass, Millis /*now*/)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    found->second.tracks[workClass].suspectedByGate = true;
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
    const auto track = found->second.tracks.find(workClass);
    return m_sharedUntil.count(workClass) > 0 || (track != found->second.tracks.end() && track->second.heldByFloor);
}

std::vector<HealthChange> SequentialDetector::tick(Millis now)
{
    m_changes.clear();
    judgeRunning(now);
    endHolds(now);
    ejectWorst(now);
    return m_changes;
}

void SequentialDetector::judgeRunning(Millis now)
{
    for (auto &[attempt, running] : m_running) {
        const AttemptStart &start = running.start;
        const Millis age = now - running.startedAt;
        if (!running.noted && age > m_baselines[start.workClass].slowThreshold(start.latencyTarget)) {
            running.noted = true;
            note(start.upstream, start.workClass, true, now);
        }
        // The gate judges running requests by what is normal; a router sees their queue as well, and allows the target.
        if (!running.judged && age > start.latencyTarget) {
            running.judged = true;
            judge(start.upstream, start.workClass, true, now);
        }
    }
}

void SequentialDetector::endHolds(Millis now)
{
    for (auto shared = m_sharedUntil.begin(); shared != m_sharedUntil.end();) {
        shared = now >= shared->second ? m_sharedUntil.erase(shared) : std::next(shared);
    }
    for (auto &[name, upstream] : m_upstreams) {
        for (auto &[workClass, track] : upstream.tracks) {
            if (!track.ejected || now < track.ejectedUntil) {
                continue;
            }
            track.ejected = false;
            track.returning = true;
            track.returnedAt = now;
            track.test.clear();
            m_changes.push_back({HealthChangeKind::Returned, name, workClass, 0, Millis()});
        }
    }
}

double SequentialDetector::neededScore() const
{
    return m_profile.ejectionThreshold + ROUTER_CAUTION;
}

double SequentialDetector::scoreOf(const std::string &upstream, const std::string &workClass, const Track &track,
                                   Millis now) const
{
    const auto baseline = m_baselines.find(workClass);
    const double peers = baseline == m_baselines.end() ? 0 : baseline->second.peerBadShare(upstream, now);
    const double own = track.test.score(peers) * (track.returning ? 1 / RETURN_SCORE_SHARE : 1);
    return track.suspectedByGate ? std::max(own, neededScore()) : own;
}

std::vector<SequentialDetector::Suspect> SequentialDetector::findSuspects(Millis now)
{
    std::vector<Suspect> suspects;
    for (auto &[name, upstream] : m_upstreams) {
        for (auto &[workClass, track] : upstream.tracks) {
            const double score = scoreOf(name, workClass, track, now);
            if (!track.ejected && score >= neededScore()) {
                suspects.push_back({score, name, workClass, &track});
            } else {
                track.heldByFloor = track.heldByFloor && !track.ejected && score > 0;
            }
        }
    }
    std::sort(suspects.begin(), suspects.end(), [](const Suspect &a, const Suspect &b) { return a.score > b.score; });
    return suspects;
}

void SequentialDetector::ejectWorst(Millis now)
{
    const std::vector<Suspect> suspects = findSuspects(now);
    for (const Suspect &suspect : suspects) {
        if (hasSharedCause(suspect.workClass, suspects, now)) {
            releaseShared(suspect.workClass, now);
        } else if (m_sharedUntil.count(suspect.workClass) == 0) {
            eject(suspect.name, suspect.workClass, *suspect.track, now);
        }
        suspect.track->suspectedByGate = false;
    }
}

bool SequentialDetector::hasSharedCause(const std::string &workClass, const std::vector<Suspect> &suspects,
                                        Millis now) const
{
    double count = 0;
    for (const Suspect &suspect : suspects) {
        count += suspect.workClass == workClass && !suspect.track->ejected ? 1 : 0;
    }
    for (const auto &[name, upstream] : m_upstreams) {
        const auto track = upstream.tracks.find(workClass);
        const bool recent =
            track != upstream.tracks.end() && track->second.ejected && now - track->second.ejectedAt < SHARED_WINDOW;
        count += recent ? 1 : 0;
    }
    return count >= std::max(SHARED_LEAST, SHARED_SHARE * static_cast<double>(m_upstreams.size()));
}

void SequentialDetector::releaseShared(const std::string &workClass, Millis now)
{
    m_sharedUntil[workClass] = now + SHARED_PAUSE;
    m_changes.push_back({HealthChangeKind::SharedCause, "", workClass, 0, SHARED_PAUSE});
    for (auto &[name, upstream] : m_upstreams) {
        const auto found = upstream.tracks.find(workClass);
        if (found == upstream.tracks.end()) {
            continue;
        }
        Track &track = found->second;
        if (track.ejected && now - track.ejectedAt < SHARED_WINDOW) {
            track.ejected = false;
            m_changes.push_back({HealthChangeKind::Returned, name, workClass, 0, Millis()});
        }
        track.test.clear();
        track.suspectedByGate = false;
    }
}

void SequentialDetector::eject(const std::string &name, const std::string &workClass, Track &track, Millis now)
{
    if (!floorAllows(name, workClass)) {
        if (!track.heldByFloor) {
            m_changes.push_back(
                {HealthChangeKind::HeldByFloor, name, workClass, scoreOf(name, workClass, track, now), Millis()});
        }
        track.heldByFloor = true;
        return;
    }
    const double growth = std::pow(2.0, std::min(track.recentEjections, 10));
    const Millis hold(std::min(m_profile.initialEjectionTime.value * growth, m_profile.maxEjectionTime.value));
    m_changes.push_back({HealthChangeKind::Ejected, name, workClass, scoreOf(name, workClass, track, now), hold});
    track.ejected = true;
    track.ejectedAt = now;
    track.heldByFloor = false;
    track.ejectedUntil = now + hold;
    ++track.recentEjections;
}

bool SequentialDetector::floorAllows(const std::string &upstream, const std::string &workClass) const
{
    double all = 0;
    double left = 0;
    for (const auto &[name, entry] : m_upstreams) {
        all += entry.slots;
        const bool gone = name == upstream || isEjected(entry, workClass);
        left += gone ? 0 : entry.slots;
    }
    return left > 0 && left >= m_floor * all;
}

bool SequentialDetector::isEjected(const Upstream &upstream, const std::string &workClass) const
{
    const bool wholePath = workClass == PATH;
    return std::any_of(upstream.tracks.begin(), upstream.tracks.end(), [&](const auto &entry) {
        const bool concerns = wholePath || entry.first == workClass || entry.first == PATH;
        return concerns && entry.second.ejected;
    });
}

double SequentialDetector::weight(const std::string &upstream, const std::string &workClass, Millis now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return 0;
    }
    double weight = 1;
    for (const std::string &name : {PATH, workClass}) {
        const auto track = found->second.tracks.find(name);
        if (track != found->second.tracks.end()) {
            weight = std::min(weight, weightOf(track->second, now));
        }
    }
    return weight;
}

double SequentialDetector::weightOf(const Track &track, Millis now) const
{
    if (track.ejected) {
        return 0;
    }
    const double ramp = (now - track.returnedAt) / m_profile.slowStart;
    return std::clamp(ramp, RETURN_WEIGHT, 1.0);
}

} // namespace mustardpond
