#include "statuscommands.h"

#include "config/objects.h"
#include "foundation/errors.h"
#include "foundation/fieldreader.h"
#include "net/httpcall.h"

#include <boost/system/system_error.hpp>
#include <fmt/format.h>

#include <iostream>

namespace mustardpond {

namespace {

constexpr Millis DAEMON_TIMEOUT{2000};
constexpr unsigned HTTP_OK = 200;

} // namespace

nlohmann::json fetchFromDaemon(const Endpoint &daemon, const std::string &target)
{
    try {
        const HttpReply reply = callHttp({daemon, "GET", target, ""}, DAEMON_TIMEOUT);
        return reply.status == HTTP_OK ? nlohmann::json::parse(reply.body, nullptr, false) : nlohmann::json();
    } catch (const boost::system::system_error &) {
        return {};
    }
}

std::vector<Endpoint> findDaemons(ObjectStore &store)
{
    std::vector<Endpoint> daemons;
    for (const StoredObject &object : store.list().objects) {
        if (object.kind == nameOf(OBJECT_KIND_NAMES, ObjectKind::Node) && !object.deleted) {
            const auto document = parseJson(object.value, object.kind + "/" + object.name);
            FieldReader reader(document, "");
            daemons.push_back(parseEndpoint(reader.text("local"), "local"));
        }
    }
    return daemons;
}

void printStatus(const std::vector<Endpoint> &daemons, bool json)
{
    nlohmann::json reports = nlohmann::json::array();
    for (const Endpoint &daemon : daemons) {
        const nlohmann::json document = fetchFromDaemon(daemon, "/status");
        if (document.is_null()) {
            reports.push_back({{"address", toString(daemon)}, {"answers", false}});
            continue;
        }
        reports.push_back(document);
    }
    if (json) {
        std::cout << reports.dump() << "\n";
        return;
    }
    for (const auto &document : reports) {
        if (!document.value("answers", true)) {
            std::cout << fmt::format("{} does not answer\n", document.at("address").get<std::string>());
            continue;
        }
        std::cout << fmt::format("{} ({}, {}){}\n", document.at("node").get<std::string>(),
                                 document.at("region").get<std::string>(), document.at("dataCentre").get<std::string>(),
                                 document.at("leaving").get<bool>() ? " leaving" : "");
        for (const auto &member : document.at("members")) {
            for (const auto &upstream : member.at("upstreams")) {
                std::cout << fmt::format("  {:<12} {:<8} {:<20} {:<12} {:<9} {}\n",
                                         member.at("node").get<std::string>(), member.at("state").get<std::string>(),
                                         upstream.at("id").get<std::string>(),
                                         upstream.at("service").get<std::string>(),
                                         upstream.at("state").get<std::string>(), upstream.at("weights").dump());
            }
        }
    }
}

} // namespace mustardpond
