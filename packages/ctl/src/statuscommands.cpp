#include "statuscommands.h"

#include "config/objects.h"
#include "decision/burn.h"
#include "foundation/errors.h"
#include "foundation/fieldreader.h"
#include "net/httpcall.h"

#include <boost/system/system_error.hpp>
#include <fmt/format.h>

#include <iostream>
#include <map>

namespace mustardpond {

namespace {

constexpr Millis CALL_TIMEOUT{2000};
constexpr unsigned OK = 200;
constexpr double MS_PER_MINUTE = 60000;

/// The JSON document that a daemon serves; null when it does not answer.
nlohmann::json ask(const Endpoint &daemon, const std::string &target)
{
    try {
        const HttpReply reply = callHttp({daemon, "GET", target, ""}, CALL_TIMEOUT);
        return reply.status == OK ? nlohmann::json::parse(reply.body, nullptr, false) : nlohmann::json();
    } catch (const boost::system::system_error &) {
        return {};
    }
}

struct ClassBurn {
    double successTarget = 0;
    std::array<BurnCounts, BURN_WINDOWS.size()> windows;
};

BurnCounts countsFrom(const nlohmann::json &window)
{
    BurnCounts counts;
    counts.requests = window.at("requests");
    counts.good = window.at("good");
    counts.retried = window.at("retried");
    counts.spilled = window.at("spilled");
    counts.held = window.at("held");
    counts.refused = window.at("refused");
    return counts;
}

using BurnByClass = std::map<std::string, ClassBurn>;

void addBurn(BurnByClass &sum, const nlohmann::json &document)
{
    for (const auto &entry : document.at("burn")) {
        const std::string key = entry.at("service").get<std::string>() + "/" + entry.at("class").get<std::string>();
        ClassBurn &burn = sum[key];
        burn.successTarget = entry.at("successTarget");
        for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
            burn.windows.at(index) += countsFrom(entry.at("windows").at(index));
        }
    }
}

nlohmann::json burnJson(const BurnByClass &sum)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, burn] : sum) {
        nlohmann::json windows = nlohmann::json::array();
        for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
            const BurnCounts &counts = burn.windows.at(index);
            windows.push_back({{"windowMs", BURN_WINDOWS.at(index).value},
                               {"requests", counts.requests},
                               {"good", counts.good},
                               {"burnRate", burnRate(counts, burn.successTarget)}});
        }
        list.push_back({{"class", key}, {"successTarget", burn.successTarget}, {"windows", windows}});
    }
    return list;
}

} // namespace

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
    nlohmann::json all = nlohmann::json::array();
    for (const Endpoint &daemon : daemons) {
        const nlohmann::json document = ask(daemon, "/status");
        if (document.is_null()) {
            all.push_back({{"address", toString(daemon)}, {"answers", false}});
            continue;
        }
        all.push_back(document);
    }
    if (json) {
        std::cout << all.dump() << "\n";
        return;
    }
    for (const auto &document : all) {
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

void printBurn(const std::vector<Endpoint> &daemons, bool json)
{
    BurnByClass sum;
    for (const Endpoint &daemon : daemons) {
        const nlohmann::json document = ask(daemon, "/burn");
        if (document.is_null()) {
            std::cerr << toString(daemon) << " does not answer\n";
        } else {
            addBurn(sum, document);
        }
    }
    if (json) {
        std::cout << burnJson(sum).dump() << "\n";
        return;
    }
    std::cout << fmt::format("{:<28} {:>8} {:>8} {:>10} {:>10} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "service/class",
                             "target", "window", "requests", "good", "burn", "retried", "spilled", "held", "refused");
    for (const auto &[key, burn] : sum) {
        for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
            const BurnCounts &counts = burn.windows.at(index);
            std::cout << fmt::format("{:<28} {:>8} {:>5} min {:>10} {:>10} {:>8.2f} {:>8} {:>8} {:>8} {:>8}\n", key,
                                     burn.successTarget, BURN_WINDOWS.at(index).value / MS_PER_MINUTE, counts.requests,
                                     counts.good, burnRate(counts, burn.successTarget), counts.retried, counts.spilled,
                                     counts.held, counts.refused);
        }
    }
}

} // namespace mustardpond
