/// State that a router keeps about the upstreams between requests: load, service times and health.
#pragma once

#include "config/daemonsettings.h"
#include "decision/balancer.h"
#include "decision/detector.h"
#include "decision/placement.h"
#include "decision/retrybudget.h"
#include "decision/routercount.h"
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
    Millis serviceTime; ///< usual service time of one class at the upstream; zero when it is not known
};

/// A reported duration and the time of the report.
struct ReportedTime {
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

    /// Sets the bounds on the retries of all routers together, of which each router keeps to its share.
    void setRetryLimits(const FleetRetryLimits &limits)
    {
        m_retryLimits = limits;
    }
    void update(std::shared_ptr<const FleetView> view, Millis now);
    const std::shared_ptr<const FleetView> &view() const
    {
        return m_view;
    }

    /// Chooses an upstream by its expected time. Returns null when none can take the request.
    const UpstreamRef *choose(const std::string &service, const WorkClass &workClass,
                              const std::set<std::string> &excluded, Millis now);
    /// Chooses an upstream at which to reserve a slot, for detection by gates. Sets the service time of the
    /// constraints.
    const UpstreamRef *place(const std::string &service, const WorkClass &workClass,
                             const std::set<std::string> &excluded, PlacementConstraints constraints, Millis now);
    bool usesGateDetection() const
    {
        return m_detection == Detection::Gates;
    }

    void onStart(const std::string &service, const AttemptStart &start, Millis now);
    /// @param networkTime time of the attempt outside service and queue
    void onFinish(const std::string &service, const AttemptStart &start, AttemptResult result, Millis serviceTime,
                  Millis networkTime, Millis now);
    /// Forgets an attempt that was given up as its caller has left.
    void onAbandoned(const std::string &service, const AttemptStart &start);
    void onLoad(const std::string &service, const std::string &upstream, const std::string &workClass,
                const ReportedLoad &load);

    void onGateSuspicion(const std::string &service, const std::string &upstream, const std::string &workClass,
                         Millis now);
    /// Records the size of an answer's body.
    void onAnswerSize(const std::string &service, const std::string &workClass, std::uint64_t bytes);
    /// Returns the usual size of the answers of a class of work at a service; zero when it is not known.
    double classAnswerBytes(const std::string &service, const std::string &workClass) const;
    /// Returns the usual service time of a class of work at the upstreams of a service; zero when it is not known.
    Millis classServiceTime(const std::string &service, const std::string &workClass);
    /// Returns the baseline of the upstream's peers, to be sent to its gate with a request.
    PeerBaseline peerBaseline(const std::string &service, const std::string &upstream, const WorkClass &workClass,
                              Millis now);
    bool mustServe(const std::string &service, const std::string &upstream, const std::string &workClass);

    /// Lets the detectors check running attempts, and logs their decisions.
    void tick(Millis now);
    RetryBudget &retryBudget(const std::string &service)
    {
        return stateOf(service).budget;
    }
    /// Whether all known upstreams of the service have more requests than slots.
    bool isSaturated(const std::string &service);
    double weight(const std::string &service, const std::string &upstream, const std::string &workClass, Millis now);

private:
    struct UpstreamState {
        double running = 0; ///< attempts of this router
        std::map<std::string, double> runningByOrganisation; ///< only those of authenticated organisations
        double reportedRequests = 0;
        double runningAtReport = 0;
        Millis reportedAt{-1e12};
        std::map<std::string, ReportedTime> reportedServiceTimes; ///< by class, as reported by the gate
        Millis networkTime{0};
        std::map<std::string, Millis> serviceTimes; ///< by class
    };
    struct ServiceState {
        std::unique_ptr<Detector> detector;
        RetryBudget budget;
        std::unordered_map<std::string, UpstreamState> upstreams;
        std::map<std::string, Millis> classServiceTimes; ///< by class
        std::map<std::string, double> classAnswerBytes; ///< smoothed, by class
    };

    ServiceState &stateOf(const std::string &service);
    static void countEnd(UpstreamState &upstream, const AttemptStart &start);
    void countRouters(Millis now);
    RetryLimits retryLimitsPerRouter() const;
    void updateService(const std::string &name, const std::vector<UpstreamRef> &upstreams);
    Candidate candidateFor(ServiceState &state, const UpstreamRef &ref, const WorkClass &workClass, Millis now);
    PlacementCandidate placementCandidateFor(ServiceState &state, const UpstreamRef &ref, const WorkClass &workClass,
                                             const std::string &organisation, Millis now);
    void logChange(const std::string &service, const HealthChange &change) const;

    Detection m_detection;
    DetectionProfile m_profile;
    FleetRetryLimits m_retryLimits;
    RouterCount m_routers;
    bool m_countsRegistered = false; ///< whether the hosts that the store listed have been counted
    std::size_t m_sharedBy = 1; ///< routers, as of the last update
    Random &m_random;
    std::shared_ptr<const FleetView> m_view = std::make_shared<FleetView>();
    std::map<std::string, ServiceState> m_services;
};

} // namespace mustardpond
