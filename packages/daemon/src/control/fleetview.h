/// What the request path knows of the fleet, immutable once published.
#pragma once

#include "config/configsnapshot.h"
#include "decision/balancer.h"
#include "membership/member.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardpond {

/// An upstream as a router sees it.
struct UpstreamRef {
    std::string id;
    std::string node;
    std::string gate; ///< inner address of the daemon beside it
    Incarnation incarnation; ///< of that daemon
    Distance distance = Distance::SameDataCentre;
    UpstreamState state = UpstreamState::Ready;
    std::uint32_t slots = 1;
};

struct FleetView {
    Member self;
    std::shared_ptr<const ConfigSnapshot> config;
    std::vector<Member> members;
    std::unordered_map<std::string, std::vector<UpstreamRef>> upstreams; ///< by service
    bool configured = false; ///< whether configuration was received from a peer or the platform
};

/// Lists the upstreams of all members that take requests.
std::unordered_map<std::string, std::vector<UpstreamRef>> listUpstreams(const std::vector<Member> &members,
                                                                        const Member &self);

/// Where the gate of the daemon with this incarnation is, without an upstream; nothing when it is not known.
std::optional<UpstreamRef> findGate(const FleetView &view, const Incarnation &incarnation);

} // namespace mustardpond
