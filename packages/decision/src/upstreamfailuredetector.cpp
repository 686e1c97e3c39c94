#include "decision/upstreamfailuredetector.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double PEER_BASELINE_MEMORY = 0.2; ///< weight of the newest word of a router
constexpr Millis CONFIRMATION{200}; ///< for news of the peers since the first bad outcome
constexpr std::size_t CONFIRMING_WORDS = 3; ///< of routers, after that time
constexpr double CLASS_SHARE_IN_WHOLE = 0.3; ///< of the evidence, that each class must show for all to be suspect
constexpr int WHOLE_BAD_IN_ROW = 5; ///< without a good outcome of any class
constexpr double SHARED_BAD_SHARE = 0.1; ///< of the peers; above it the cause is taken to be shared

PeerBaseline blend(const PeerBaseline &known, const PeerBaseline &news)
{
    const Millis slowThreshold =
        known.slowThreshold + (news.slowThreshold - known.slowThreshold) * PEER_BASELINE_MEMORY;
    // Doubt about the peers counts at once and fades slowly: a shared cause must not look like one failing upstream.
    const double faded = known.peerBadShare + (news.peerBadShare - known.peerBadShare) * PEER_BASELINE_MEMORY;
    return {slowThreshold, std::max(news.peerBadShare, faded)};
}

} // namespace

void UpstreamFailureDetector::onArrival(const std::string &workClass, const PeerBaseline &peerBaseline, Millis now)
{
    const bool known = m_tracks.count(workClass) > 0;
    Track &track = m_tracks[workClass];
    track.peerBaseline = known ? blend(track.peerBaseline, peerBaseline) : peerBaseline;
    m_heardAt.push_back(now);
    if (m_heardAt.size() > CONFIRMING_WORDS) {
        m_heardAt.pop_front();
    }
}

void UpstreamFailureDetector::onStart(std::uint64_t attempt, const std::string &workClass, Millis now)
{
    m_running[attempt] = {workClass, now, false};
}

void UpstreamFailureDetector::onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return;
    }
    const Running running = found->second;
    m_running.erase(found);
    if (running.judged || result == AttemptResult::Unjudged || result == AttemptResult::PathFailed) {
        return;
    }
    Track &track = m_tracks[running.workClass];
    const bool bad = result != AttemptResult::Answered || serviceTime > track.peerBaseline.slowThreshold;
    judge(track, bad, now);
}

void UpstreamFailureDetector::tick(Millis now)
{
    for (auto &[attempt, running] : m_running) {
        Track &track = m_tracks[running.workClass];
        if (!running.judged && now - running.startedAt > track.peerBaseline.slowThreshold) {
            running.judged = true;
            judge(track, true, now);
        }
    }
    for (auto &[workClass, track] : m_tracks) {
        decide(track, now);
    }
    decideWhole(now);
}

void UpstreamFailureDetector::judge(Track &track, bool bad, Millis now)
{
    track.firstBadAt = bad && !track.test.hasBad() ? now : track.firstBadAt;
    track.test.add(bad, peerBadShare());
    m_wholeBadAt = bad && !m_whole.hasBad() ? now : m_wholeBadAt;
    m_whole.add(bad, peerBadShare());
    m_badInRow = bad ? m_badInRow + 1 : 0;
    m_badInRowSince = m_badInRow == 1 ? now : m_badInRowSince;
    decide(track, now);
}

void UpstreamFailureDetector::decide(Track &track, Millis now)
{
    const double needed = track.returning ? m_profile.ejectionThreshold / 2 : m_profile.ejectionThreshold;
    const bool confirmed = isConfirmed(track.firstBadAt);
    if (now < track.suspectUntil || !confirmed || track.test.score(peerBadShare()) < needed) {
        return;
    }
    track.suspectUntil = now + m_profile.initialEjectionTime;
    track.test.clear();
    track.returning = true;
}

void UpstreamFailureDetector::decideWhole(Millis now)
{
    const bool peersAreWell = peerBadShare() < SHARED_BAD_SHARE;
    const bool silent = m_badInRow >= WHOLE_BAD_IN_ROW && isConfirmed(m_badInRowSince);
    const bool failing =
        m_whole.score(peerBadShare()) >= m_profile.ejectionThreshold && failsEveryClass() && isConfirmed(m_wholeBadAt);
    if (peersAreWell && (silent || failing) && now >= m_allSuspectUntil) {
        m_allSuspectUntil = now + m_profile.initialEjectionTime;
        m_whole.clear();
    }
}

bool UpstreamFailureDetector::failsEveryClass() const
{
    return std::all_of(m_tracks.begin(), m_tracks.end(), [this](const auto &entry) {
        return entry.second.test.score(peerBadShare()) >= CLASS_SHARE_IN_WHOLE * m_profile.ejectionThreshold;
    });
}

bool UpstreamFailureDetector::isConfirmed(Millis firstBadAt) const
{
    return m_heardAt.size() == CONFIRMING_WORDS && m_heardAt.front() >= firstBadAt + CONFIRMATION;
}

double UpstreamFailureDetector::peerBadShare() const
{
    // A shared cause rarely keeps to one class, and news of any class comes sooner than that of one.
    double share = 0;
    for (const auto &[workClass, track] : m_tracks) {
        share = std::max(share, track.peerBaseline.peerBadShare);
    }
    return share;
}

Millis UpstreamFailureDetector::slowThreshold(const std::string &workClass) const
{
    const auto found = m_tracks.find(workClass);
    return found == m_tracks.end() ? Millis() : found->second.peerBaseline.slowThreshold;
}

double UpstreamFailureDetector::score(const std::string &workClass) const
{
    const auto found = m_tracks.find(workClass);
    return found == m_tracks.end() ? 0 : found->second.test.score(found->second.peerBaseline.peerBadShare);
}

bool UpstreamFailureDetector::isSuspect(const std::string &workClass, Millis now) const
{
    const auto found = m_tracks.find(workClass);
    return now < m_allSuspectUntil || (found != m_tracks.end() && now < found->second.suspectUntil);
}

} // namespace mustardpond
