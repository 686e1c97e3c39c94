/// What a router remembers of the upstreams between requests: loads, times and verdicts.
#pragma once

#include "config/daemonsettings.h"
#include "decision/balancer.h"
#include "decision/detector.h"
#include "decision/placement.h"
#include "decision/retrybudget.h"
#include "decision/sequentialdetector.h"
#include "fleetview.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace mustardpond {

/// The load that a gate reports with its answers.
struct ReportedLoad {
    double requests = 0; ///< running and waiting
    Millis at;
    Millis typical; ///< usual service time there, of one class; zero when it is not known
};

/// A time as it was told at some moment.
struct TimedMillis {
    Millis value;
    Millis at;
};

/// Not thread-safe.
class RoutingTable
{
public:
    RoutingTable(Detection detection, DetectionProfile profile, Random &random)
        : m_detection(detection)
        , m_profile(profile)
        , m_random(random)
    {
    }

    /// Bounds of the retries of all routers together; each keeps to its share of them.
    void setRetryLimits(const FleetRetryLimits &limits)
    {
        m_retryLimits = limits;
    }
    void update(std::shared_ptr<const FleetView> view);
    const std::shared_ptr<const FleetView> &view() const
    {
        return m_view;
    }

    /// Chooses an upstream; null when none can take the request.
    const UpstreamRef *choose(const std::string &service, const WorkClass &workClass,
                              const std::set<std::string> &excluded, Millis now);
    /// The same where gates judge their upstreams. Fills in the service time of the constraints.
    const UpstreamRef *place(const std::string &service, const WorkClass &workClass,
                             const std::set<std::string> &excluded, PlacementConstraints constraints, Millis now);
    bool placesByGates() const
    {
        return m_detection == Detection::Gates;
    }

    void onStart(const std::string &service, const AttemptStart &start, Millis now);
    /// @param network time of the attempt outside the gate
    void onFinish(const std::string &service, const AttemptStart &start, AttemptResult result, Millis serviceTime,
                  Millis network, Millis now);
    void onLoad(const std::string &service, const std::string &upstream, const std::string &workClass,
                const ReportedLoad &load);

    void onGateSuspicion(const std::string &service, const std::string &upstream, const std::string &workClass,
                         Millis now);
    /// Usual service time of a class of work at the upstreams of a service.
    Millis typicalTime(const std::string &service, const std::string &workClass);
    /// What to tell an upstream's gate with a request.
    PeerBaseline peerBaseline(const std::string &service, const std::string &upstream, const WorkClass &workClass,
                              Millis now);
    bool mustServe(const std::string &service, const std::string &upstream, const std::string &workClass);

    /// Lets the detectors look at running attempts, and logs what they decide.
    void tick(Millis now);
    RetryBudget &retryBudget(const std::string &service)
    {
        return stateOf(service).budget;
    }
    /// Whether the service's known upstreams all have more requests than slots.
    bool isSaturated(const std::string &service);
    double weight(const std::string &service, const std::string &upstream, const std::string &workClass, Millis now);

private:
    struct UpstreamState {
        double running = 0; ///< attempts of this router
        double reported = 0;
        double runningAtReport = 0;
        Millis reportedAt{-1e12};
        std::map<std::string, TimedMillis> typicals; ///< by class, as reported
        Millis network{0};
        std::map<std::string, Millis> serviceTimes; ///< by class
    };
    struct ServiceState {
        std::unique_ptr<Detector> detector;
        RetryBudget budget;
        std::unordered_map<std::string, UpstreamState> upstreams;
        std::map<std::string, Millis> typicalTimes; ///< by class
    };

    ServiceState &stateOf(const std::string &service);
    void updateService(const std::string &name, const std::vector<UpstreamRef> &upstreams);
    Candidate candidateFor(ServiceState &state, const UpstreamRef &ref, const WorkClass &workClass, Millis now);
    PlacementCandidate placementOf(ServiceState &state, const UpstreamRef &ref, const WorkClass &workClass, Millis now);
    void logChange(const std::string &service, const HealthChange &change) const;

    Detection m_detection;
    DetectionProfile m_profile;
    FleetRetryLimits m_retryLimits;
    RetryLimits shareOfRetries() const;
    Random &m_random;
    std::shared_ptr<const FleetView> m_view = std::make_shared<FleetView>();
    std::map<std::string, ServiceState> m_services;
};

} // namespace mustardpond
