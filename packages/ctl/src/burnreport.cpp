#include "burnreport.h"

#include "config/burnjson.h"

#include <fmt/format.h>

#include <algorithm>

namespace mustardpond {

namespace {

void addWindow(FleetWindow &total, const nlohmann::json &document)
{
    BurnWindow window;
    window.counts = burnCountsFrom(document);
    for (const auto &entry : document.at("badBy")) {
        const std::string upstream = entry.at("upstream");
        window.failuresByUpstream[upstream] = entry.at("bad");
        total.dataCentres[upstream] = entry.at("dataCentre");
    }
    total.window += window;
}

nlohmann::json windowJson(const FleetWindow &window, Millis length, double successTarget)
{
    nlohmann::json failuresByUpstream = nlohmann::json::array();
    for (const auto &[upstream, failures] : window.window.failuresByUpstream) {
        failuresByUpstream.push_back(
            {{"upstream", upstream}, {"dataCentre", window.dataCentres.at(upstream)}, {"bad", failures}});
    }
    nlohmann::json document = toJson(window.window.counts, length, successTarget);
    document["badBy"] = failuresByUpstream;
    return document;
}

std::string formatRow(const std::string &name, const ClassBurn &burn, std::size_t index)
{
    const BurnCounts &counts = burn.windows.at(index).window.counts;
    return fmt::format("{:<28} {:>8} {:>5} min {:>10} {:>10} {:>8.2f} {:>8} {:>8} {:>8} {:>8}\n", name,
                       burn.successTarget, windowMinutes(index), counts.requests, counts.good,
                       burnRate(counts, burn.successTarget), counts.retried, counts.spilled, counts.held,
                       counts.refused);
}

} // namespace

void addDaemonBurn(BurnByClass &total, const nlohmann::json &document)
{
    for (const auto &entry : document.at("burn")) {
        const std::string key = entry.at("service").get<std::string>() + "/" + entry.at("class").get<std::string>();
        ClassBurn &burn = total[key];
        burn.successTarget = entry.at("successTarget");
        for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
            addWindow(burn.windows.at(index), entry.at("windows").at(index));
        }
    }
}

double windowMinutes(std::size_t window)
{
    constexpr double MS_PER_MINUTE = 60000;
    return BURN_WINDOWS.at(window).value / MS_PER_MINUTE;
}

double remainingBudget(const ClassBurn &burn)
{
    return std::max(0.0, 1 - burnRate(burn.windows.back().window.counts, burn.successTarget));
}

nlohmann::json burnJson(const BurnByClass &total)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, burn] : total) {
        nlohmann::json windows = nlohmann::json::array();
        for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
            windows.push_back(windowJson(burn.windows.at(index), BURN_WINDOWS.at(index), burn.successTarget));
        }
        list.push_back({{"class", key},
                        {"successTarget", burn.successTarget},
                        {"budgetLeft", remainingBudget(burn)},
                        {"windows", windows}});
    }
    return list;
}

std::string burnText(const BurnByClass &total)
{
    std::string text =
        fmt::format("{:<28} {:>8} {:>9} {:>10} {:>10} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "service/class", "target",
                    "window", "requests", "good", "burn", "retried", "spilled", "held", "refused");
    for (const auto &[key, burn] : total) {
        for (std::size_t index = 0; index < BURN_WINDOWS.size(); ++index) {
            text += formatRow(key, burn, index);
        }
        for (const auto &[upstream, failures] : burn.windows.back().window.failuresByUpstream) {
            text += fmt::format("  {} not good by {} ({})\n", failures, upstream.empty() ? "no upstream" : upstream,
                                burn.windows.back().dataCentres.at(upstream));
        }
    }
    return text;
}

} // namespace mustardpond
