/// Measures detection time and false ejections per fault for several policies. Prints a table and writes JSON.

#include "baselinedetectors.h"
#include "curveplot.h"
#include "servicetrace.h"

#include "decision/sequentialdetector.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <future>
#include <iostream>
#include <string_view>

using namespace mustardpond;
using namespace mustardpond::bench;

namespace {

constexpr double DIRECTORATE_COST = 10;
constexpr double BUNDESSTELLE_COST = 0.2;

struct Arm {
    std::string name;
    DetectorFactory factory;
    std::optional<DetectionProfile> gateProfile;
};

template <typename Rule>
DetectorFactory ruleFactory()
{
    return [](const auto &) { return std::make_unique<Rule>(); };
}

DetectorFactory sequentialFactory(double cost)
{
    return [cost](const auto &) { return std::make_unique<SequentialDetector>(profileForCost(cost)); };
}

std::vector<Arm> allArms()
{
    return {
        {"probes", [](const auto &oracle) { return std::make_unique<ProbeDetector>(oracle); }, std::nullopt},
        {"consecutive", ruleFactory<ConsecutiveErrorsDetector>(), std::nullopt},
        {"quartiles", ruleFactory<QuartileDetector>(), std::nullopt},
        {"routers-only", sequentialFactory(DIRECTORATE_COST), std::nullopt},
        {"directorate", sequentialFactory(DIRECTORATE_COST), profileForCost(DIRECTORATE_COST)},
        {"bundesstelle", sequentialFactory(BUNDESSTELLE_COST), profileForCost(BUNDESSTELLE_COST)},
    };
}

struct Figures {
    std::string arm;
    FaultKind fault = FaultKind::Quiet;
    std::vector<double> detection;
    double falseEjections = 0;
    double healthyHours = 0;
    double leastCapacity = 1;
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    std::uint64_t retries = 0;
    std::uint64_t requestsInFault = 0;
    std::uint64_t retriesInFault = 0;
};

struct Options {
    std::uint64_t seeds = 20;
    double rate = 600;
    std::string output;
    std::string curve; ///< SVG file for the curve of the profiles; none if empty
    std::vector<std::string> faults; ///< all if empty
    std::vector<std::string> arms; ///< all if empty
    bool showChanges = false;
};

bool isSelected(const std::vector<std::string> &selection, std::string_view name)
{
    return selection.empty() || std::find(selection.begin(), selection.end(), name) != selection.end();
}

void printChange(std::uint64_t seed, Millis at, std::size_t router, const HealthChange &change)
{
    std::cout << fmt::format("seed {} at {:.0f} ms: router {} {} upstream {} class {} score {:.1f}\n", seed, at.value,
                             router, nameOf(HEALTH_CHANGE_KIND_NAMES, change.kind), change.upstream, change.workClass,
                             change.score);
}

Figures measure(const Arm &arm, FaultKind fault, const Options &options)
{
    Figures figures;
    figures.arm = arm.name;
    figures.fault = fault;
    for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
        TracePlan plan;
        plan.fault = fault;
        plan.seed = seed;
        plan.requestsPerSecond = options.rate;
        plan.gateProfile = arm.gateProfile;
        if (options.showChanges) {
            plan.onChange = [seed](Millis at, std::size_t router, const HealthChange &change) {
                printChange(seed, at, router, change);
            };
        }
        const TraceResult result = runTrace(plan, arm.factory);
        figures.detection.insert(figures.detection.end(), result.detectionMs.begin(), result.detectionMs.end());
        figures.falseEjections += result.falseEjections;
        figures.healthyHours += result.healthyHours;
        figures.leastCapacity = std::min(figures.leastCapacity, result.leastCapacity);
        figures.requests += result.requests;
        figures.good += result.good;
        figures.retries += result.retries;
        figures.requestsInFault += result.requestsInFault;
        figures.retriesInFault += result.retriesInFault;
    }
    std::sort(figures.detection.begin(), figures.detection.end());
    return figures;
}

double quantile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

nlohmann::json toJson(const Figures &figures)
{
    return {{"arm", figures.arm},
            {"fault", nameOf(FAULT_KIND_NAMES, figures.fault)},
            {"detectionP50Ms", quantile(figures.detection, 0.5)},
            {"detectionP99Ms", quantile(figures.detection, 0.99)},
            {"falseEjectionsPerHour", figures.falseEjections / figures.healthyHours},
            {"leastCapacity", figures.leastCapacity},
            {"goodShare", static_cast<double>(figures.good) / static_cast<double>(figures.requests)},
            {"retryShare", static_cast<double>(figures.retries) / static_cast<double>(figures.requests)},
            {"retryShareInFault",
             static_cast<double>(figures.retriesInFault) / static_cast<double>(figures.requestsInFault)}};
}

void printRow(const nlohmann::json &row)
{
    std::cout << fmt::format("{:<14} {:<13} {:>9.0f} {:>9.0f} {:>10.2f} {:>9.2f} {:>8.4f} {:>8.4f}\n",
                             row["fault"].get<std::string>(), row["arm"].get<std::string>(),
                             row["detectionP50Ms"].get<double>(), row["detectionP99Ms"].get<double>(),
                             row["falseEjectionsPerHour"].get<double>(), row["leastCapacity"].get<double>(),
                             row["goodShare"].get<double>(), row["retryShare"].get<double>());
}

/// Measures one profile on the faults whose results differ between profiles.
CurvePoint measureProfile(double cost, const Options &options)
{
    const Arm arm{fmt::format("{}", cost), sequentialFactory(cost), profileForCost(cost)};
    const Figures errors = measure(arm, FaultKind::Errors, options);
    CurvePoint point;
    point.cost = cost;
    point.detectionP99 = Millis(quantile(errors.detection, 0.99));
    double falseEjections = 0;
    double hours = 0;
    for (const FaultKind fault :
         {FaultKind::Bursts, FaultKind::SharedSlow, FaultKind::BrownOut, FaultKind::TwoAtOnce}) {
        const Figures figures = measure(arm, fault, options);
        falseEjections += figures.falseEjections;
        hours += figures.healthyHours;
    }
    point.falsePerHour = falseEjections / hours;
    return point;
}

void plotProfiles(const Options &options)
{
    constexpr std::array<double, 7> COSTS = {0.05, 0.2, 1, 10, 50, 200, 1000};
    std::vector<std::future<CurvePoint>> pending;
    pending.reserve(COSTS.size());
    for (const double cost : COSTS) {
        pending.push_back(std::async(std::launch::async, measureProfile, cost, options));
    }
    std::vector<CurvePoint> points;
    points.reserve(COSTS.size());
    for (auto &point : pending) {
        points.push_back(point.get());
        std::cout << fmt::format("cost {:>6}: half-failing upstreams p99 {:>6.0f} ms, false ejections {:.2f}/h\n",
                                 points.back().cost, points.back().detectionP99.value, points.back().falsePerHour);
    }
    std::ofstream(options.curve) << curvePlot(points);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("detection time and false ejections per fault and policy");
    Options options;
    app.add_option("--seeds", options.seeds);
    app.add_option("--rate", options.rate, "requests per second to the service");
    app.add_option("--json", options.output, "write the results to this JSON file");
    app.add_option("--fault", options.faults, "only this fault; may be repeated");
    app.add_option("--arm", options.arms, "only this arm; may be repeated");
    app.add_flag("--changes", options.showChanges, "print each health change; best with one fault and one arm");
    app.add_option("--curve", options.curve,
                   "plot detection time against false ejections over the profiles to this SVG file");
    CLI11_PARSE(app, argc, argv);
    if (!options.curve.empty()) {
        plotProfiles(options);
        return 0;
    }
    const std::vector<Arm> arms = allArms();
    std::vector<std::future<Figures>> pending;
    for (const auto &fault : FAULT_KIND_NAMES) {
        for (const Arm &arm : arms) {
            if (isSelected(options.faults, fault.name) && isSelected(options.arms, arm.name)) {
                pending.push_back(std::async(std::launch::async, measure, arm, fault.value, options));
            }
        }
    }
    std::cout << fmt::format("{:<14} {:<13} {:>9} {:>9} {:>10} {:>9} {:>8} {:>8}\n", "fault", "arm", "p50 ms", "p99 ms",
                             "false/h", "capacity", "good", "retries");
    nlohmann::json rows = nlohmann::json::array();
    for (auto &figures : pending) {
        rows.push_back(toJson(figures.get()));
        printRow(rows.back());
    }
    if (!options.output.empty()) {
        const nlohmann::json document = {{"seeds", options.seeds}, {"rate", options.rate}, {"rows", rows}};
        std::ofstream(options.output) << document.dump(1) << "\n";
    }
    return 0;
}
