#include "admission.h"

namespace mustardpond {

namespace {

/// An upstream takes about twice as long while it warms up.
constexpr double WARMUP_SERVICE_TIME_FACTOR = 2;

bool isSuspect(GateContext &gate, const AdmissionQuery &query, const std::string &upstream, Millis now)
{
    if (gate.statistical) {
        UpstreamFailureDetector &detector = gate.detectorOf(upstream);
        detector.onArrival(query.workClass, query.peerBaseline, now);
        return detector.isSuspect(query.workClass, now);
    }
    const TrustLevel trust = gate.trustOf(upstream).level(now);
    return trust == TrustLevel::Failing || (trust == TrustLevel::Doubtful && !query.mayTry);
}

} // namespace

LocalUpstream *findUpstream(GateContext &gate, const AdmissionQuery &query)
{
    return query.upstream.empty() ? gate.registry.leastLoaded(query.service) : gate.registry.find(query.upstream);
}

std::optional<Denial> checkAdmission(GateContext &gate, const AdmissionQuery &query, Millis now)
{
    if (gate.leaving) {
        return Denial{NotRunReason::Leaving, "the gate takes no new work"};
    }
    const LocalUpstream *upstream = findUpstream(gate, query);
    if (!upstream || upstream->announced.state == UpstreamState::Gone) {
        return Denial{NotRunReason::NoUpstream, "the gate does not serve the upstream"};
    }
    if (upstream->announced.state != UpstreamState::Ready) {
        return Denial{NotRunReason::Leaving, "the upstream takes no new work"};
    }
    if (gate.quarantine.status(query.fingerprint, now) == QuarantineStatus::Quarantined) {
        return Denial{NotRunReason::Quarantined, "the request has crashed upstreams before"};
    }
    if (isSuspect(gate, query, upstream->announced.id, now) && !query.mustServe) {
        return Denial{NotRunReason::Suspect, "the upstream is failing requests of this class of work"};
    }
    return std::nullopt;
}

Millis estimatedWait(const LocalUpstream &upstream, const UpstreamTrust &trust, const SlotPriority &priority)
{
    return trust.typicalServiceTime()
        * upstream.queue->estimatedRounds(priority.rank, priority.deadline, priority.share);
}

wire::LoadT loadOf(GateContext &gate, const LocalUpstream &upstream, const std::string &workClass)
{
    const bool warmingUp = gate.clock.now() < upstream.warmupUntil;
    wire::LoadT load;
    load.inFlight = static_cast<std::uint32_t>(upstream.queue->running());
    load.queued = static_cast<std::uint32_t>(upstream.queue->waiting());
    load.slots = static_cast<std::uint32_t>(upstream.queue->slots());
    load.typicalMs = gate.trustOf(upstream.announced.id).classServiceTime(workClass).value
        * (warmingUp ? WARMUP_SERVICE_TIME_FACTOR : 1);
    return load;
}

} // namespace mustardpond
