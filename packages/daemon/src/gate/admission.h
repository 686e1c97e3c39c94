/// Decides whether a gate admits a request for one of its upstreams.
#pragma once

#include "decision/outcome.h"
#include "gatecontext.h"

#include <optional>
#include <string>

namespace mustardpond {

struct AdmissionQuery {
    std::string service;
    std::string upstream; ///< empty if any upstream of the service will do
    std::string workClass;
    bool mayTry = true; ///< can be retried elsewhere after a failure, so a doubtful upstream may get it
    bool mustServe = false; ///< no other upstream is left
    std::uint64_t fingerprint = 0;
    PeerBaseline peerBaseline; ///< of the upstream's peers, as the router reports it
};

struct Denial {
    NotRunReason reason = NotRunReason::None;
    std::string detail;
};

/// Returns the upstream that would run the request, or null if there is none.
LocalUpstream *findUpstream(GateContext &gate, const AdmissionQuery &query);

/// Returns why the gate rejects the request now, or nothing if it admits it.
std::optional<Denial> checkAdmission(GateContext &gate, const AdmissionQuery &query, Millis now);

/// Returns the estimated time until a new request would get a slot of the upstream.
Millis estimatedWait(const LocalUpstream &upstream, const UpstreamTrust &trust, const SlotPriority &priority);

/// Returns the load of an upstream as it is reported to routers.
wire::LoadT loadOf(GateContext &gate, const LocalUpstream &upstream, const std::string &workClass);

} // namespace mustardpond
