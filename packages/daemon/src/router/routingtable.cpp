#include "routingtable.h"

#include "decision/pathdetector.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double SMOOTHING_FACTOR = 0.1; ///< weight of the newest sample in an exponential moving average
constexpr Millis DEFAULT_SERVICE_TIME{5};
constexpr Millis REPORT_LIFETIME{500};
constexpr Millis SERVICE_TIME_LIFETIME{3000}; ///< after which a slow upstream is tried again
constexpr double RETRY_SHARE_MARGIN = 0.75; ///< of the fleet's share; the rest is for calls that retried requests make
constexpr double RETRY_BURST_MARGIN = 0.8; ///< leaves room for routers that this one does not know

Millis defaultRoundTrip(Distance distance)
{
    switch (distance) {
    case Distance::SameDataCentre:
        return Millis(0.5);
    case Distance::SameRegion:
        return Millis(2);
    case Distance::OtherRegion:
        return Millis(16);
    }
    return Millis(0);
}

Millis smooth(Millis average, Millis sample)
{
    return average + (sample - average) * SMOOTHING_FACTOR;
}

Event eventOf(HealthChangeKind kind)
{
    switch (kind) {
    case HealthChangeKind::Ejected:
        return Event::UpstreamEjected;
    case HealthChangeKind::Returned:
        return Event::UpstreamReturned;
    case HealthChangeKind::HeldByFloor:
        return Event::EjectionHeldByFloor;
    case HealthChangeKind::SharedCause:
        return Event::SharedCause;
    }
    return Event::UpstreamEjected;
}

} // namespace

void RoutingTable::update(std::shared_ptr<const FleetView> view, Millis now)
{
    m_view = std::move(view);
    countRouters(now);
    for (const auto &[service, upstreams] : m_view->upstreams) {
        updateService(service, upstreams);
    }
    const RetryLimits retries = retryLimitsPerRouter();
    for (auto &[name, state] : m_services) {
        state.budget.setLimits(retries);
        if (m_view->upstreams.count(name) == 0) {
            updateService(name, {});
        }
    }
}

void RoutingTable::countRouters(Millis now)
{
    if (m_view->registered && !m_countsRegistered) {
        m_countsRegistered = true;
        m_routers.update(m_view->registered->count, now);
    }
    m_routers.update(
        static_cast<std::size_t>(std::count_if(m_view->members.begin(), m_view->members.end(), acceptsRequests)), now);
    m_sharedBy = m_routers.count(now);
}

RetryLimits RoutingTable::retryLimitsPerRouter() const
{
    // In any window, the retries of a router are bounded by its burst plus its share of the first attempts, so the sum
    // over all routers stays within the fleet's bounds however the requests are distributed.
    RetryLimits limits;
    limits.share = m_retryLimits.share * RETRY_SHARE_MARGIN;
    if (m_retryLimits.extra > 0) {
        limits.burst = std::max(1.0, m_retryLimits.extra * RETRY_BURST_MARGIN / static_cast<double>(m_sharedBy));
    }
    return limits;
}

void RoutingTable::updateService(const std::string &name, const std::vector<UpstreamRef> &upstreams)
{
    ServiceState &state = stateOf(name);
    std::set<std::string> present;
    for (const UpstreamRef &ref : upstreams) {
        present.insert(ref.id);
        state.detector->setUpstream(ref.id, ref.slots);
        state.upstreams[ref.id];
    }
    for (auto entry = state.upstreams.begin(); entry != state.upstreams.end();) {
        if (present.count(entry->first) == 0) {
            state.detector->removeUpstream(entry->first);
            entry = state.upstreams.erase(entry);
        } else {
            ++entry;
        }
    }
    if (m_view->config) {
        if (const ServiceObject *service = m_view->config->service(name)) {
            state.detector->setFloor(service->floor);
        }
    }
}

const UpstreamRef *RoutingTable::choose(const std::string &service, const WorkClass &workClass,
                                        const std::set<std::string> &excluded, Millis now)
{
    const auto found = m_view->upstreams.find(service);
    if (found == m_view->upstreams.end()) {
        return nullptr;
    }
    ServiceState &state = stateOf(service);
    std::vector<Candidate> candidates;
    candidates.reserve(found->second.size());
    for (const UpstreamRef &ref : found->second) {
        candidates.push_back(candidateFor(state, ref, workClass, now));
        candidates.back().excluded = excluded.count(ref.id) > 0;
    }
    const auto chosen = chooseUpstream(candidates, workClass.latencyTarget, m_random);
    return chosen ? &found->second[*chosen] : nullptr;
}

const UpstreamRef *RoutingTable::place(const std::string &service, const WorkClass &workClass,
                                       const std::set<std::string> &excluded, PlacementConstraints constraints,
                                       Millis now)
{
    const auto found = m_view->upstreams.find(service);
    if (found == m_view->upstreams.end()) {
        return nullptr;
    }
    ServiceState &state = stateOf(service);
    constraints.serviceTime = state.classServiceTimes[workClass.name];
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(found->second.size());
    for (const UpstreamRef &ref : found->second) {
        candidates.push_back(placementCandidateFor(state, ref, workClass, constraints.organisation, now));
        candidates.back().excluded = excluded.count(ref.id) > 0;
    }
    const auto chosen = placeRequest(candidates, constraints, m_random);
    return chosen ? &found->second[*chosen] : nullptr;
}

PlacementCandidate RoutingTable::placementCandidateFor(ServiceState &state, const UpstreamRef &ref,
                                                       const WorkClass &workClass, const std::string &organisation,
                                                       Millis now)
{
    const UpstreamState &upstream = state.upstreams[ref.id];
    PlacementCandidate candidate;
    candidate.distance = ref.distance;
    candidate.slots = ref.slots;
    const bool recent = now - upstream.reportedAt < REPORT_LIFETIME;
    const double estimated = upstream.reportedRequests + upstream.running - upstream.runningAtReport;
    candidate.load = recent ? std::max(upstream.running, estimated) : upstream.running;
    const auto ofOrganisation = upstream.runningByOrganisation.find(organisation);
    candidate.organisationLoad = ofOrganisation == upstream.runningByOrganisation.end() ? 0 : ofOrganisation->second;
    const auto reportedTime = upstream.reportedServiceTimes.find(workClass.name);
    if (reportedTime != upstream.reportedServiceTimes.end() && now - reportedTime->second.at < SERVICE_TIME_LIFETIME) {
        candidate.serviceTime = reportedTime->second.value;
    }
    candidate.avoided = state.detector->weight(ref.id, workClass.name, now) <= 0;
    return candidate;
}

Candidate RoutingTable::candidateFor(ServiceState &state, const UpstreamRef &ref, const WorkClass &workClass,
                                     Millis now)
{
    const UpstreamState &upstream = state.upstreams[ref.id];
    Candidate candidate;
    candidate.upstream = ref.id;
    candidate.distance = ref.distance;
    candidate.roundTrip = upstream.networkTime > Millis() ? upstream.networkTime : defaultRoundTrip(ref.distance);
    const auto time = upstream.serviceTimes.find(workClass.name);
    candidate.serviceTime = time == upstream.serviceTimes.end() ? DEFAULT_SERVICE_TIME : time->second;
    const double estimated = upstream.reportedRequests + upstream.running - upstream.runningAtReport;
    const bool recent = now - upstream.reportedAt < REPORT_LIFETIME;
    candidate.load = recent ? std::max(upstream.running, estimated) : upstream.running;
    candidate.slots = ref.slots;
    candidate.weight = state.detector->weight(ref.id, workClass.name, now);
    return candidate;
}

void RoutingTable::onStart(const std::string &service, const AttemptStart &start, Millis now)
{
    ServiceState &state = stateOf(service);
    state.detector->onStart(start, now);
    UpstreamState &upstream = state.upstreams[start.upstream];
    upstream.running += 1;
    if (!start.organisation.empty()) {
        upstream.runningByOrganisation[start.organisation] += 1;
    }
}

void RoutingTable::countEnd(UpstreamState &upstream, const AttemptStart &start)
{
    upstream.running = std::max(0.0, upstream.running - 1);
    const auto ofOrganisation = upstream.runningByOrganisation.find(start.organisation);
    if (ofOrganisation != upstream.runningByOrganisation.end() && --ofOrganisation->second <= 0) {
        upstream.runningByOrganisation.erase(ofOrganisation);
    }
}

void RoutingTable::onAbandoned(const std::string &service, const AttemptStart &start)
{
    ServiceState &state = stateOf(service);
    state.detector->onAbandoned(start.attempt);
    countEnd(state.upstreams[start.upstream], start);
}

void RoutingTable::onFinish(const std::string &service, const AttemptStart &start, AttemptResult result,
                            Millis serviceTime, Millis networkTime, Millis now)
{
    ServiceState &state = stateOf(service);
    state.detector->onFinish(start.attempt, result, serviceTime, now);
    UpstreamState &upstream = state.upstreams[start.upstream];
    countEnd(upstream, start);
    if (result != AttemptResult::Answered) {
        return;
    }
    const auto time = upstream.serviceTimes.find(start.workClass);
    const Millis previous = time == upstream.serviceTimes.end() ? serviceTime : time->second;
    upstream.serviceTimes[start.workClass] = smooth(previous, serviceTime);
    Millis &average = state.classServiceTimes[start.workClass];
    average = average > Millis() ? smooth(average, serviceTime) : serviceTime;
    const Millis sample(std::max(0.05, networkTime.value));
    upstream.networkTime = upstream.networkTime > Millis() ? smooth(upstream.networkTime, sample) : sample;
}

void RoutingTable::onLoad(const std::string &service, const std::string &upstream, const std::string &workClass,
                          const ReportedLoad &load)
{
    UpstreamState &state = stateOf(service).upstreams[upstream];
    state.reportedRequests = load.requests;
    state.runningAtReport = state.running;
    state.reportedAt = load.at;
    state.reportedServiceTimes[workClass] = {load.serviceTime, load.at};
}

void RoutingTable::onGateSuspicion(const std::string &service, const std::string &upstream,
                                   const std::string &workClass, Millis now)
{
    stateOf(service).detector->onGateSuspicion(upstream, workClass, now);
}

void RoutingTable::onAnswerSize(const std::string &service, const std::string &workClass, std::uint64_t bytes)
{
    const auto size = static_cast<double>(bytes);
    double &average = stateOf(service).classAnswerBytes.try_emplace(workClass, size).first->second;
    average += (size - average) * SMOOTHING_FACTOR;
}

double RoutingTable::classAnswerBytes(const std::string &service, const std::string &workClass) const
{
    const auto state = m_services.find(service);
    if (state == m_services.end()) {
        return 0;
    }
    const auto found = state->second.classAnswerBytes.find(workClass);
    return found == state->second.classAnswerBytes.end() ? 0 : found->second;
}

Millis RoutingTable::classServiceTime(const std::string &service, const std::string &workClass)
{
    return stateOf(service).classServiceTimes[workClass];
}

PeerBaseline RoutingTable::peerBaseline(const std::string &service, const std::string &upstream,
                                        const WorkClass &workClass, Millis now)
{
    return stateOf(service).detector->peerBaseline(upstream, workClass.name, workClass.latencyTarget, now);
}

bool RoutingTable::mustServe(const std::string &service, const std::string &upstream, const std::string &workClass)
{
    return stateOf(service).detector->mustServe(upstream, workClass);
}

void RoutingTable::tick(Millis now)
{
    for (auto &[name, state] : m_services) {
        for (const HealthChange &change : state.detector->tick(now)) {
            logChange(name, change);
        }
    }
}

bool RoutingTable::isSaturated(const std::string &service)
{
    const auto found = m_view->upstreams.find(service);
    if (found == m_view->upstreams.end()) {
        return true;
    }
    ServiceState &state = stateOf(service);
    return std::all_of(found->second.begin(), found->second.end(), [&state](const UpstreamRef &ref) {
        const UpstreamState &upstream = state.upstreams[ref.id];
        return std::max(upstream.reportedRequests, upstream.running) > ref.slots;
    });
}

double RoutingTable::weight(const std::string &service, const std::string &upstream, const std::string &workClass,
                            Millis now)
{
    return stateOf(service).detector->weight(upstream, workClass, now);
}

RoutingTable::ServiceState &RoutingTable::stateOf(const std::string &service)
{
    ServiceState &state = m_services[service];
    if (!state.detector) {
        state.budget.setLimits(retryLimitsPerRouter());
        if (m_detection == Detection::Gates) {
            state.detector = std::make_unique<PathDetector>();
        } else {
            state.detector = std::make_unique<SequentialDetector>(m_profile);
        }
    }
    return state;
}

void RoutingTable::logChange(const std::string &service, const HealthChange &change) const
{
    logEvent(eventOf(change.kind),
             {{"service", service},
              {"upstream", change.upstream},
              {"class", change.workClass.empty() ? "(path)" : change.workClass},
              {"score", change.score},
              {"holdMs", change.ejectionTime.value}});
}

} // namespace mustardpond
