#include "fleetview.h"

namespace mustardpond {

namespace {

Distance distanceBetween(const Member &a, const Member &b)
{
    if (a.region != b.region) {
        return Distance::OtherRegion;
    }
    return a.dataCentre == b.dataCentre ? Distance::SameDataCentre : Distance::SameRegion;
}

} // namespace

std::unordered_map<std::string, std::vector<UpstreamRef>> listUpstreams(const std::vector<Member> &members,
                                                                        const Member &self)
{
    std::unordered_map<std::string, std::vector<UpstreamRef>> byService;
    for (const Member &member : members) {
        if (!acceptsRequests(member)) {
            continue;
        }
        for (const UpstreamInfo &upstream : member.upstreams) {
            if (upstream.state != UpstreamState::Ready) {
                continue;
            }
            byService[upstream.service].push_back({upstream.id, member.node, member.inner, member.incarnation,
                                                   distanceBetween(self, member), upstream.state, upstream.slots,
                                                   upstream.born});
        }
    }
    return byService;
}

std::optional<UpstreamRef> findGate(const FleetView &view, const Incarnation &incarnation)
{
    for (const Member &member : view.members) {
        if (member.incarnation == incarnation) {
            UpstreamRef gate;
            gate.node = member.node;
            gate.gate = member.inner;
            gate.incarnation = incarnation;
            gate.distance = distanceBetween(view.self, member);
            return gate;
        }
    }
    return std::nullopt;
}

} // namespace mustardpond
