#include "noderecord.h"

#include "foundation/events.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

nlohmann::json documentOf(const StoredObject &record)
{
    auto document = nlohmann::json::parse(record.value, nullptr, false);
    return document.is_object() ? document : nlohmann::json::object();
}

} // namespace

std::string nodeRecord(const DaemonSettings &settings, Incarnation incarnation,
                       const std::vector<UpstreamInfo> &upstreams)
{
    nlohmann::json list = nlohmann::json::array();
    for (const UpstreamInfo &upstream : upstreams) {
        if (upstream.state == UpstreamState::Draining || upstream.state == UpstreamState::Gone) {
            list.push_back({{"id", upstream.id},
                            {"service", upstream.service},
                            {"state", nameOf(UPSTREAM_STATE_NAMES, upstream.state)},
                            {"born", upstream.born},
                            {"sequence", upstream.sequence}});
        }
    }
    const nlohmann::json document = {{"inner", toString(settings.advertisedInner)}, {"local", toString(settings.local)},
                                     {"dataCentre", settings.dataCentre},           {"region", settings.region},
                                     {"incarnation", toString(incarnation)},        {"leaving", list}};
    return document.dump();
}

std::vector<UpstreamInfo> leavingUpstreams(const StoredObject &record)
{
    std::vector<UpstreamInfo> upstreams;
    try {
        for (const auto &entry : documentOf(record).value("leaving", nlohmann::json::array())) {
            UpstreamInfo info;
            info.id = entry.at("id").get<std::string>();
            info.service = entry.at("service").get<std::string>();
            const auto state = valueOf(UPSTREAM_STATE_NAMES, entry.at("state").get<std::string>());
            info.state = state.value_or(UpstreamState::Draining);
            info.born = entry.at("born").get<std::uint64_t>();
            info.sequence = entry.at("sequence").get<std::uint64_t>();
            upstreams.push_back(std::move(info));
        }
    } catch (const nlohmann::json::exception &error) {
        logEvent(Event::ObjectInvalid, {{"kind", record.kind}, {"name", record.name}, {"cause", error.what()}});
    }
    return upstreams;
}

std::string incarnationOf(const StoredObject &record)
{
    const auto document = documentOf(record);
    const auto found = document.find("incarnation");
    return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace mustardpond
