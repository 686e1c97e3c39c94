#include "decision/upstreamfailuredetector.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double BASELINE_SMOOTHING = 0.2; ///< weight of a router's newest baseline
constexpr Millis CONFIRMATION_DELAY{200}; ///< after the first bad outcome, for peer baselines to reflect a shared cause
constexpr std::size_t CONFIRMING_BASELINES = 3; ///< baselines required after that delay
constexpr double MIN_CLASS_SCORE_RATIO = 0.3; ///< of the threshold, required of each class to suspect all
constexpr int MIN_CONSECUTIVE_BAD = 5; ///< over all classes
constexpr double SHARED_CAUSE_BAD_SHARE = 0.1; ///< of the peers; from this share on, a cause is assumed to be shared

PeerBaseline blend(const PeerBaseline &previous, const PeerBaseline &update)
{
    const Millis slowThreshold =
        previous.slowThreshold + (update.slowThreshold - previous.slowThreshold) * BASELINE_SMOOTHING;
    // A rise takes effect at once and decays slowly, so that a shared cause does not look like one failing upstream.
    const double decayed = previous.peerBadShare + (update.peerBadShare - previous.peerBadShare) * BASELINE_SMOOTHING;
    return {slowThreshold, std::max(update.peerBadShare, decayed)};
}

} // namespace

void UpstreamFailureDetector::onArrival(const std::string &workClass, const PeerBaseline &peerBaseline, Millis now)
{
    const bool hasBaseline = m_classes.count(workClass) > 0;
    ClassState &state = m_classes[workClass];
    state.peerBaseline = hasBaseline ? blend(state.peerBaseline, peerBaseline) : peerBaseline;
    m_baselinesReceivedAt.push_back(now);
    if (m_baselinesReceivedAt.size() > CONFIRMING_BASELINES) {
        m_baselinesReceivedAt.pop_front();
    }
}

void UpstreamFailureDetector::onStart(std::uint64_t attempt, const std::string &workClass, Millis now)
{
    m_running[attempt] = {workClass, RunClock(now), false};
}

void UpstreamFailureDetector::onReaderWait(std::uint64_t run, Millis now)
{
    const auto found = m_running.find(run);
    if (found != m_running.end()) {
        found->second.clock.pause(now);
    }
}

void UpstreamFailureDetector::onReaderReady(std::uint64_t run, Millis now)
{
    const auto found = m_running.find(run);
    if (found != m_running.end()) {
        found->second.clock.resume(now);
    }
}

void UpstreamFailureDetector::onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    const Running running = found->second;
    m_running.erase(found);
    if (running.countedAsBad || result == AttemptResult::Unjudged || result == AttemptResult::PathFailed) {
        return;
    }
    ClassState &state = m_classes[running.workClass];
    const bool bad = result != AttemptResult::Answered || serviceTime > state.peerBaseline.slowThreshold;
    addOutcome(state, bad, now);
}

void UpstreamFailureDetector::tick(Millis now)
{
    for (auto &[attempt, running] : m_running) {
        ClassState &state = m_classes[running.workClass];
        if (!running.countedAsBad && running.clock.elapsed(now) > state.peerBaseline.slowThreshold) {
            running.countedAsBad = true;
            addOutcome(state, true, now);
        }
    }
    for (auto &[workClass, state] : m_classes) {
        updateSuspicion(state, now);
    }
    updateOverallSuspicion(now);
}

void UpstreamFailureDetector::addOutcome(ClassState &state, bool bad, Millis now)
{
    state.firstBadAt = bad && !state.cusum.hasBadOutcome() ? now : state.firstBadAt;
    state.cusum.add(bad, peerBadShare());
    m_overallFirstBadAt = bad && !m_overallCusum.hasBadOutcome() ? now : m_overallFirstBadAt;
    m_overallCusum.add(bad, peerBadShare());
    m_consecutiveBad = bad ? m_consecutiveBad + 1 : 0;
    m_consecutiveBadSince = m_consecutiveBad == 1 ? now : m_consecutiveBadSince;
    updateSuspicion(state, now);
}

void UpstreamFailureDetector::updateSuspicion(ClassState &state, Millis now)
{
    const double threshold = state.recentlySuspected ? m_profile.ejectionThreshold / 2 : m_profile.ejectionThreshold;
    const bool confirmed = isConfirmed(state.firstBadAt);
    if (now < state.suspectUntil || !confirmed || state.cusum.score(peerBadShare()) < threshold) {
        return;
    }
    state.suspectUntil = now + m_profile.initialEjectionTime;
    state.cusum.clear();
    state.recentlySuspected = true;
}

void UpstreamFailureDetector::updateOverallSuspicion(Millis now)
{
    const bool peersHealthy = peerBadShare() < SHARED_CAUSE_BAD_SHARE;
    const bool consecutivelyBad = m_consecutiveBad >= MIN_CONSECUTIVE_BAD && isConfirmed(m_consecutiveBadSince);
    const bool failing = m_overallCusum.score(peerBadShare()) >= m_profile.ejectionThreshold && failsEveryClass()
        && isConfirmed(m_overallFirstBadAt);
    if (peersHealthy && (consecutivelyBad || failing) && now >= m_overallSuspectUntil) {
        m_overallSuspectUntil = now + m_profile.initialEjectionTime;
        m_overallCusum.clear();
    }
}

bool UpstreamFailureDetector::failsEveryClass() const
{
    return std::all_of(m_classes.begin(), m_classes.end(), [this](const auto &entry) {
        return entry.second.cusum.score(peerBadShare()) >= MIN_CLASS_SCORE_RATIO * m_profile.ejectionThreshold;
    });
}

bool UpstreamFailureDetector::isConfirmed(Millis firstBadAt) const
{
    return m_baselinesReceivedAt.size() == CONFIRMING_BASELINES
        && m_baselinesReceivedAt.front() >= firstBadAt + CONFIRMATION_DELAY;
}

double UpstreamFailureDetector::peerBadShare() const
{
    // A shared cause rarely affects only one class, and reports over all classes arrive sooner than those of one.
    double share = 0;
    for (const auto &[workClass, state] : m_classes) {
        share = std::max(share, state.peerBaseline.peerBadShare);
    }
    return share;
}

Millis UpstreamFailureDetector::slowThreshold(const std::string &workClass) const
{
    const auto found = m_classes.find(workClass);
    return found == m_classes.end() ? Millis() : found->second.peerBaseline.slowThreshold;
}

double UpstreamFailureDetector::score(const std::string &workClass) const
{
    const auto found = m_classes.find(workClass);
    return found == m_classes.end() ? 0 : found->second.cusum.score(found->second.peerBaseline.peerBadShare);
}

bool UpstreamFailureDetector::isSuspect(const std::string &workClass, Millis now) const
{
    const auto found = m_classes.find(workClass);
    return now < m_overallSuspectUntil || (found != m_classes.end() && now < found->second.suspectUntil);
}

} // namespace mustardpond
