/// The request path's view of the fleet. Immutable once published.
#pragma once

#include "config/configsnapshot.h"
#include "decision/balancer.h"
#include "membership/member.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardpond {

/// A router's reference to an upstream.
struct UpstreamRef {
    std::string id;
    std::string node;
    std::string gate; ///< inner address of the daemon on the upstream's host
    Incarnation incarnation; ///< of that daemon
    Distance distance = Distance::SameDataCentre;
    UpstreamState state = UpstreamState::Ready;
    std::uint32_t slots = 1;
    std::uint64_t born = 0; ///< start time in Unix milliseconds; 0 when it is unknown
};

/// The hosts that the platform's store listed when this process started. Until a process has reached its peers, this is
/// all that it knows of the fleet.
struct RegisteredHosts {
    std::set<std::string> neighbours; ///< nodes of the own data centre
    std::size_t count = 0; ///< of all data centres
};

struct FleetView {
    Member self;
    std::shared_ptr<const ConfigSnapshot> config;
    std::vector<Member> members;
    std::unordered_map<std::string, std::vector<UpstreamRef>> upstreams; ///< by service
    std::shared_ptr<const RegisteredHosts> registered; ///< null until the store has been listed
    bool configured = false; ///< whether configuration was received from a peer or the platform
};

/// Returns, by service, the ready upstreams of all members that accept requests.
std::unordered_map<std::string, std::vector<UpstreamRef>> listUpstreams(const std::vector<Member> &members,
                                                                        const Member &self);

/// Returns the gate of the daemon with this incarnation, with no upstream set; nothing if no member has it.
std::optional<UpstreamRef> findGate(const FleetView &view, const Incarnation &incarnation);

} // namespace mustardpond
