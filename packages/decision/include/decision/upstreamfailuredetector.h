/// Failure detection by a gate for its own upstream, from every request that the upstream runs.
#pragma once

#include "decision/cusum.h"
#include "decision/detector.h"
#include "decision/runclock.h"
#include "decision/sequentialdetector.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace mustardpond {

/// Sees the requests of all routers, so it needs a fraction of the time that one router would. Routers send the
/// baseline of the other upstreams with each request. Not thread-safe.
class UpstreamFailureDetector
{
public:
    explicit UpstreamFailureDetector(DetectionProfile profile)
        : m_profile(profile)
    {
    }

    /// Called when a request arrives, with the router's baseline of the peers.
    void onArrival(const std::string &workClass, const PeerBaseline &peerBaseline, Millis now);
    /// Called when a request is sent to the upstream.
    void onStart(std::uint64_t attempt, const std::string &workClass, Millis now);
    void onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now);
    /// The time until onReaderReady(), in which the answer's reader is waited for, does not count.
    void onReaderWait(std::uint64_t run, Millis now);
    void onReaderReady(std::uint64_t run, Millis now);
    /// Checks running requests. To be called every few tens of milliseconds.
    void tick(Millis now);

    /// Returns the service time above which an answer counts as bad; zero before any router has reported a baseline.
    Millis slowThreshold(const std::string &workClass) const;
    /// Returns the CUSUM score of a class: evidence that the upstream fails it more often than its peers do.
    double score(const std::string &workClass) const;
    /// Whether new requests of the class should go elsewhere, if there is room elsewhere.
    bool isSuspect(const std::string &workClass, Millis now) const;

private:
    struct ClassState {
        Cusum cusum;
        PeerBaseline peerBaseline;
        Millis firstBadAt;
        Millis suspectUntil{-1e12};
        bool recentlySuspected = false; ///< after a suspicion, half the score is enough
    };
    struct Running {
        std::string workClass;
        RunClock clock;
        bool countedAsBad = false;
    };

    void addOutcome(ClassState &state, bool bad, Millis now);
    void updateSuspicion(ClassState &state, Millis now);
    void updateOverallSuspicion(Millis now);
    bool failsEveryClass() const;
    /// Whether enough baselines arrived after the first bad outcome to reflect a shared cause, if there is one.
    bool isConfirmed(Millis firstBadAt) const;
    double peerBadShare() const;

    DetectionProfile m_profile;
    std::map<std::string, ClassState> m_classes;
    std::unordered_map<std::uint64_t, Running> m_running;
    Cusum m_overallCusum; ///< test over all classes
    Millis m_overallFirstBadAt;
    int m_consecutiveBad = 0; ///< over all classes
    Millis m_consecutiveBadSince;
    std::deque<Millis> m_baselinesReceivedAt; ///< arrival of the newest baselines, oldest first
    Millis m_overallSuspectUntil{-1e12};
};

} // namespace mustardpond
