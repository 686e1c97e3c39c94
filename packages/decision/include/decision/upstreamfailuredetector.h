/// The gate's judgement of its own upstream, from every request that the upstream runs.
#pragma once

#include "decision/cusum.h"
#include "decision/detector.h"
#include "decision/sequentialdetector.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace mustardpond {

/// Sees the requests of all routers, so it needs a fraction of the time that one router would. Routers tell it with
/// each request what is normal at the other upstreams. Not thread-safe.
class UpstreamFailureDetector
{
public:
    explicit UpstreamFailureDetector(DetectionProfile profile)
        : m_profile(profile)
    {
    }

    /// A request has arrived, with a router's word on the peers.
    void onArrival(const std::string &workClass, const PeerBaseline &peerBaseline, Millis now);
    /// A request is sent to the upstream.
    void onStart(std::uint64_t attempt, const std::string &workClass, Millis now);
    void onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now);
    /// Looks at running requests. To be called every few tens of milliseconds.
    void tick(Millis now);

    /// A service time above this counts as bad, as far as routers have told.
    Millis slowThreshold(const std::string &workClass) const;
    /// Evidence that the upstream fails a class of work more than its peers do.
    double score(const std::string &workClass) const;
    /// Whether new requests of the class should go elsewhere, if there is room elsewhere.
    bool isSuspect(const std::string &workClass, Millis now) const;

private:
    struct Track {
        Cusum test;
        PeerBaseline peerBaseline;
        Millis firstBadAt;
        Millis suspectUntil{-1e12};
        bool returning = false; ///< half the evidence is enough after a hold
    };
    struct Running {
        std::string workClass;
        Millis startedAt;
        bool judged = false;
    };

    void judge(Track &track, bool bad, Millis now);
    void decide(Track &track, Millis now);
    void decideWhole(Millis now);
    bool failsEveryClass() const;
    bool isConfirmed(Millis firstBadAt) const;
    double peerBadShare() const;

    DetectionProfile m_profile;
    std::map<std::string, Track> m_tracks;
    std::unordered_map<std::uint64_t, Running> m_running;
    Cusum m_whole; ///< over all classes
    Millis m_wholeBadAt;
    int m_badInRow = 0; ///< of all classes
    Millis m_badInRowSince;
    std::deque<Millis> m_heardAt; ///< the newest words of routers, the oldest first
    Millis m_allSuspectUntil{-1e12};
};

} // namespace mustardpond
