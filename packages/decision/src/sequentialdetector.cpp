#include "decision/sequentialdetector.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

const std::string PATH; // NOLINT(cert-err58-cpp)
constexpr double RETURN_SCORE_SHARE = 0.5; ///< of the eject score, so that a relapse is seen at once
constexpr double RETURN_WEIGHT = 0.05;
constexpr double FORGET_HOLDS = 10; ///< healthy time, in holds, after which holds start small again
constexpr Millis PATH_TIMEOUT{250};

} // namespace

DetectionProfile profileForCost(double lateDetectionCost)
{
    constexpr double BASE_SCORE = 9;
    DetectionProfile profile;
    profile.ejectScore = std::max(4.0, BASE_SCORE - std::log(std::max(lateDetectionCost, 1e-3)));
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
    m_running[start.attempt] = {start, now, false};
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
    judge(running.start.upstream, PATH, result == AttemptResult::PathFailed, now);
    if (result == AttemptResult::PathFailed) {
        return;
    }
    ClassBaseline &baseline = m_baselines[running.start.workClass];
    const bool slow = serviceTime > baseline.badAbove(running.start.latencyTarget);
    if (result == AttemptResult::Answered) {
        baseline.addServiceTime(serviceTime);
    }
    if (!running.judged) {
        judge(running.start.upstream, running.start.workClass, result != AttemptResult::Answered || slow, now);
    }
}

void SequentialDetector::judge(const std::string &upstream, const std::string &workClass, bool bad, Millis now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    Track &track = found->second.tracks[workClass];
    ClassBaseline &baseline = m_baselines[workClass];
    track.test.add(bad, baseline.peerBadShare(upstream));
    baseline.addOutcome(upstream, bad);
    const bool longHealthy = now - track.returnedAt > m_profile.firstHold * FORGET_HOLDS;
    if (longHealthy && !track.ejected && track.test.score() <= 0) {
        track.recentEjections = 0;
    }
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
        if (running.judged) {
            continue;
        }
        const Millis limit = m_baselines[running.start.workClass].badAbove(running.start.latencyTarget);
        if (now - running.startedAt > limit + PATH_TIMEOUT * 0.1) {
            running.judged = true;
            judge(running.start.upstream, running.start.workClass, true, now);
        }
    }
}

void SequentialDetector::endHolds(Millis now)
{
    for (auto &[name, upstream] : m_upstreams) {
        for (auto &[workClass, track] : upstream.tracks) {
            if (!track.ejected || now < track.ejectedUntil) {
                continue;
            }
            track.ejected = false;
            track.returnedAt = now;
            track.test.reset(m_profile.ejectScore * RETURN_SCORE_SHARE);
            m_changes.push_back({HealthChangeKind::Returned, name, workClass, track.test.score(), Millis()});
        }
    }
}

void SequentialDetector::ejectWorst(Millis now)
{
    struct Suspect {
        double score;
        std::string name;
        std::string workClass;
        Track *track;
    };
    std::vector<Suspect> suspects;
    for (auto &[name, upstream] : m_upstreams) {
        for (auto &[workClass, track] : upstream.tracks) {
            if (track.ejected || track.test.score() < m_profile.ejectScore) {
                track.heldByFloor = track.heldByFloor && !track.ejected && track.test.score() > 0;
                continue;
            }
            suspects.push_back({track.test.score(), name, workClass, &track});
        }
    }
    std::sort(suspects.begin(), suspects.end(), [](const Suspect &a, const Suspect &b) { return a.score > b.score; });
    for (const Suspect &suspect : suspects) {
        eject(suspect.name, suspect.workClass, *suspect.track, now);
    }
}

bool SequentialDetector::eject(const std::string &name, const std::string &workClass, Track &track, Millis now)
{
    if (!floorAllows(name, workClass)) {
        if (!track.heldByFloor) {
            m_changes.push_back({HealthChangeKind::HeldByFloor, name, workClass, track.test.score(), Millis()});
        }
        track.heldByFloor = true;
        return false;
    }
    const double growth = std::pow(2.0, std::min(track.recentEjections, 10));
    const Millis hold(std::min(m_profile.firstHold.value * growth, m_profile.longestHold.value));
    track.ejected = true;
    track.heldByFloor = false;
    track.ejectedUntil = now + hold;
    ++track.recentEjections;
    m_changes.push_back({HealthChangeKind::Ejected, name, workClass, track.test.score(), hold});
    return true;
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
    const double returning = std::clamp(ramp, RETURN_WEIGHT, 1.0);
    const double doubt = 1 - 0.8 * std::min(1.0, track.test.score() / m_profile.ejectScore);
    return std::max(RETURN_WEIGHT, std::min(returning, doubt));
}

} // namespace mustardpond
