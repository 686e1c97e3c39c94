/// Detector used by routers: one sequential test per upstream and class, relative to the peers.
#pragma once

#include "decision/classbaseline.h"
#include "decision/cusum.h"
#include "decision/detector.h"

#include <map>
#include <unordered_map>

namespace mustardpond {

/// Trade-off of a deployment between late detection and false ejections.
struct DetectionProfile {
    double ejectionThreshold = 6.5; ///< required CUSUM score; higher is slower with fewer false ejections
    Millis initialEjectionTime{20000};
    Millis maxEjectionTime{300000};
    Millis slowStart{4000}; ///< time from return to full weight
};

/// Returns a profile whose ejection threshold follows from the cost of one second of late detection, measured in false
/// ejections.
DetectionProfile profileForCost(double lateDetectionCost);

/// Failures of the upstream eject it per class; failures of the path to it eject it for all classes of this router.
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
    void onAbandoned(std::uint64_t attempt) override
    {
        m_running.erase(attempt);
    }
    void onGateSuspicion(const std::string &upstream, const std::string &workClass, Millis now) override;
    PeerBaseline peerBaseline(const std::string &upstream, const std::string &workClass, Millis latencyTarget,
                              Millis now) const override;
    bool mustServe(const std::string &upstream, const std::string &workClass) const override;
    std::vector<HealthChange> tick(Millis now) override;
    double weight(const std::string &upstream, const std::string &workClass, Millis now) const override;

private:
    struct ClassState {
        Cusum cusum;
        bool suspectedByGate = false;
        bool ejected = false;
        bool heldByFloor = false;
        bool recentlyReturned = false; ///< after an ejection, half the score ejects again
        Millis ejectedAt{-1e12};
        Millis ejectedUntil;
        Millis returnedAt{-1e12};
        int recentEjections = 0;
    };
    struct Upstream {
        double slots = 1;
        std::map<std::string, ClassState> classes; ///< by class; the empty name stands for the path to the gate
    };
    struct Running {
        AttemptStart start;
        Millis startedAt;
        bool countedInCusum = false; ///< already counted as bad in the test of its upstream
        bool countedInBaseline = false; ///< already counted as bad in the baseline of its class
    };
    struct Suspect {
        double score;
        std::string name;
        std::string workClass;
        ClassState *state;
    };

    void addToBaseline(const std::string &upstream, const std::string &workClass, bool bad, Millis now);
    std::vector<Suspect> findSuspects(Millis now);
    bool hasSharedCause(const std::string &workClass, const std::vector<Suspect> &suspects, Millis now) const;
    /// Suspends ejections for the class and returns its recently ejected upstreams.
    void suspendEjections(const std::string &workClass, Millis now);
    double ejectionScore() const;
    double scoreOf(const std::string &upstream, const std::string &workClass, const ClassState &state,
                   Millis now) const;
    void addToCusum(const std::string &upstream, const std::string &workClass, bool bad, Millis now);
    void checkRunning(Millis now);
    void endEjections(Millis now);
    void ejectSuspects(Millis now);
    void eject(const std::string &name, const std::string &workClass, ClassState &state, Millis now);
    bool floorAllows(const std::string &upstream, const std::string &workClass) const;
    bool isEjected(const Upstream &upstream, const std::string &workClass) const;
    double weightOf(const ClassState &state, Millis now) const;

    DetectionProfile m_profile;
    double m_floor = 0.5;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::string, ClassBaseline> m_baselines;
    std::unordered_map<std::uint64_t, Running> m_running;
    std::map<std::string, Millis> m_ejectionsSuspendedUntil; ///< by class, after a shared cause
    std::vector<HealthChange> m_changes;
};

} // namespace mustardpond
