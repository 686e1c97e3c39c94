#include "slotshares.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

nlohmann::json slotSharesJson(const UpstreamRegistry &registry)
{
    nlohmann::json upstreams = nlohmann::json::object();
    for (const auto &[id, upstream] : registry.all()) {
        const auto flows = upstream.queue->callerRequests().waitingFlows();
        const bool shared =
            std::any_of(flows.begin(), flows.end(), [](const FlowUse &use) { return !use.flow.empty(); });
        if (!shared) {
            continue;
        }
        for (const FlowUse &use : flows) {
            upstreams[id].push_back({{"organisation", use.flow},
                                     {"weight", use.weight},
                                     {"waiting", use.waiting},
                                     {"granted", use.granted}});
        }
    }
    return upstreams;
}

} // namespace mustardpond
