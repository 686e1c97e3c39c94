#include "noderecord.h"

#include "foundation/errors.h"
#include "foundation/events.h"
#include "foundation/fieldreader.h"
#include "foundation/lenientjson.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

constexpr NumberRange COUNT_RANGE{0, 9e15}; ///< integers that a double holds exactly

void logInvalid(const StoredObject &record, const Exception &error)
{
    logEvent(Event::ObjectInvalid, {{"kind", record.kind}, {"name", record.name}, {"cause", error.what()}});
}

nlohmann::json documentOf(const StoredObject &record)
{
    try {
        auto document = parseJsonLeniently(record.value, record.kind + "/" + record.name);
        return document.is_object() ? document : nlohmann::json::object();
    } catch (const InvalidDocument &error) {
        logInvalid(record, error);
        return nlohmann::json::object();
    }
}

UpstreamInfo leavingUpstream(const nlohmann::json &entry)
{
    FieldReader reader(entry, "leaving");
    UpstreamInfo info;
    info.id = reader.text("id");
    info.service = reader.text("service", "");
    info.state = valueOf(UPSTREAM_STATE_NAMES, reader.text("state")).value_or(UpstreamState::Draining);
    info.born = static_cast<std::uint64_t>(reader.number("born", COUNT_RANGE));
    info.sequence = static_cast<std::uint64_t>(reader.number("sequence", COUNT_RANGE));
    return info;
}

} // namespace

std::string nodeRecord(const DaemonSettings &settings, Incarnation incarnation,
                       const std::vector<UpstreamInfo> &upstreams)
{
    nlohmann::json list = nlohmann::json::array();
    for (const UpstreamInfo &upstream : upstreams) {
        if (upstream.state == UpstreamState::Draining || upstream.state == UpstreamState::Gone) {
            nlohmann::json entry = {{"id", upstream.id},
                                    {"state", nameOf(UPSTREAM_STATE_NAMES, upstream.state)},
                                    {"born", upstream.born},
                                    {"sequence", upstream.sequence}};
            if (!upstream.service.empty()) {
                entry["service"] = upstream.service; // a deregistration names only the id
            }
            list.push_back(std::move(entry));
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
    const auto document = documentOf(record);
    const auto list = document.find("leaving");
    if (list == document.end() || !list->is_array()) {
        return upstreams;
    }
    for (const auto &entry : *list) {
        try {
            upstreams.push_back(leavingUpstream(entry));
        } catch (const InvalidField &error) {
            logInvalid(record, error);
        }
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
