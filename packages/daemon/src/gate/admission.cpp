#include "admission.h"

namespace mustardpond {

namespace {

/// A cold upstream takes about twice as long.
constexpr double COLD_FACTOR = 2;

bool isSuspect(GateContext &gate, const AdmissionQuery &query, const std::string &upstream, Millis now)
{
    if (gate.statistical) {
        UpstreamJudge &judge = gate.judgeOf(upstream);
        judge.onArrival(query.workClass, query.normality, now);
        return judge.isSuspect(query.workClass, now);
    }
    const Trust trust = gate.trustOf(upstream).trust(now);
    return trust == Trust::Failing || (trust == Trust::Doubtful && !query.mayTry);
}

} // namespace

LocalUpstream *findUpstream(GateContext &gate, const AdmissionQuery &query)
{
    return query.upstream.empty() ? gate.registry.leastLoaded(query.service) : gate.registry.find(query.upstream);
}

std::optional<Denial> denialOf(GateContext &gate, const AdmissionQuery &query, Millis now)
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
    if (gate.quarantine.standing(query.fingerprint, now) == RequestStanding::Quarantined) {
        return Denial{NotRunReason::Quarantined, "this request crashed upstreams before"};
    }
    if (isSuspect(gate, query, upstream->announced.id, now) && !query.mustServe) {
        return Denial{NotRunReason::Suspect, "the upstream fails this class of work"};
    }
    return std::nullopt;
}

Millis estimatedWait(const LocalUpstream &upstream, const UpstreamTrust &trust, const TurnOrder &order)
{
    return trust.typical() * upstream.queue->roundsBefore(order.rank, order.deadline);
}

wire::LoadT loadOf(GateContext &gate, const LocalUpstream &upstream, const std::string &workClass)
{
    const bool cold = gate.clock.now() < upstream.coldUntil;
    wire::LoadT load;
    load.inFlight = static_cast<std::uint32_t>(upstream.queue->running());
    load.queued = static_cast<std::uint32_t>(upstream.queue->waiting());
    load.slots = static_cast<std::uint32_t>(upstream.queue->slots());
    load.typicalMs = gate.trustOf(upstream.announced.id).typicalOf(workClass).value * (cold ? COLD_FACTOR : 1);
    return load;
}

} // namespace mustardpond
