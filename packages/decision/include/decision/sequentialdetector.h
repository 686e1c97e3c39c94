/// The detector that routers use: one sequential test per upstream and class, judged against the peers.
#pragma once

#include "decision/classbaseline.h"
#include "decision/cusum.h"
#include "decision/detector.h"

#include <map>
#include <unordered_map>

namespace mustardpond {

/// How a deployment weighs a late detection against a false ejection.
struct DetectionProfile {
    double ejectionThreshold = 6.5; ///< evidence needed; higher is slower with fewer false ejections
    Millis initialEjectionTime{20000};
    Millis maxEjectionTime{300000};
    Millis slowStart{4000}; ///< from return to full weight
};

/// Profile with evidence weighed by the cost of one second of late detection, in false ejections.
DetectionProfile profileForCost(double lateDetectionCost);

/// Evidence about the server ejects per class; evidence about the path ejects for all classes of this router.
class SequentialDetector : public Detector
{
public:
    explicit SequentialDetector(DetectionProfile profile);

    void setUpstream(const std::string &upstream, double slots) override;
    void removeUpstream(const std::string &upstream) override;
    void setFloor(double floor) override
    {
        m_floor = floor;
    }
    void onStart(const AttemptStart &start, Millis now) override;
    void onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now) override;
    void onGateSuspicion(const std::string &upstream, const std::string &workClass, Millis now) override;
    PeerBaseline peerBaseline(const std::string &upstream, const std::string &workClass, Millis latencyTarget,
                              Millis now) const override;
    bool mustServe(const std::string &upstream, const std::string &workClass) const override;
    std::vector<HealthChange> tick(Millis now) override;
    double weight(const std::string &upstream, const std::string &workClass, Millis now) const override;

private:
    struct Track {
        Cusum test;
        bool suspectedByGate = false;
        bool ejected = false;
        bool heldByFloor = false;
        bool returning = false; ///< half the evidence is enough after a hold
        Millis ejectedAt{-1e12};
        Millis ejectedUntil;
        Millis returnedAt{-1e12};
        int recentEjections = 0;
    };
    struct Upstream {
        double slots = 1;
        std::map<std::string, Track> tracks; ///< by class; the empty name stands for the path
    };
    struct Running {
        AttemptStart start;
        Millis startedAt;
        bool judged = false; ///< for the test of its upstream
        bool noted = false; ///< for what is normal
    };
    struct Suspect {
        double score;
        std::string name;
        std::string workClass;
        Track *track;
    };

    void note(const std::string &upstream, const std::string &workClass, bool bad, Millis now);
    std::vector<Suspect> findSuspects(Millis now);
    bool hasSharedCause(const std::string &workClass, const std::vector<Suspect> &suspects, Millis now) const;
    void releaseShared(const std::string &workClass, Millis now);
    double neededScore() const;
    double scoreOf(const std::string &upstream, const std::string &workClass, const Track &track, Millis now) const;
    void judge(const std::string &upstream, const std::string &workClass, bool bad, Millis now);
    void judgeRunning(Millis now);
    void endHolds(Millis now);
    void ejectWorst(Millis now);
    void eject(const std::string &name, const std::string &workClass, Track &track, Millis now);
    bool floorAllows(const std::string &upstream, const std::string &workClass) const;
    bool isEjected(const Upstream &upstream, const std::string &workClass) const;
    double weightOf(const Track &track, Millis now) const;

    DetectionProfile m_profile;
    double m_floor = 0.5;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::string, ClassBaseline> m_baselines;
    std::unordered_map<std::uint64_t, Running> m_running;
    std::map<std::string, Millis> m_sharedUntil; ///< by class: while its upstreams all look bad, none is ejected
    std::vector<HealthChange> m_changes;
};

} // namespace mustardpond
