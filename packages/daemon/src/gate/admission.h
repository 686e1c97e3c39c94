/// Whether a gate takes a request for its upstream.
#pragma once

#include "decision/outcome.h"
#include "gatecontext.h"

#include <optional>
#include <string>

namespace mustardpond {

struct AdmissionQuery {
    std::string service;
    std::string upstream; ///< empty for any upstream of the service
    std::string workClass;
    bool mayTry = true; ///< can be moved after a failure, so a doubtful upstream may have it
    bool mustServe = false; ///< no other upstream is left
    std::uint64_t fingerprint = 0;
    PeerBaseline peerBaseline; ///< the router's word on the peers
};

struct Denial {
    NotRunReason reason = NotRunReason::None;
    std::string detail;
};

/// The upstream that would run the request; null when there is none.
LocalUpstream *findUpstream(GateContext &gate, const AdmissionQuery &query);

/// Why the gate does not take the request now; nothing when it does.
std::optional<Denial> denialOf(GateContext &gate, const AdmissionQuery &query, Millis now);

/// Estimated time until a new request would get a slot of the upstream.
Millis estimatedWait(const LocalUpstream &upstream, const UpstreamTrust &trust, const SlotPriority &order);

/// The load of an upstream as routers are told it.
wire::LoadT loadOf(GateContext &gate, const LocalUpstream &upstream, const std::string &workClass);

} // namespace mustardpond
