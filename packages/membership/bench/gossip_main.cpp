/// Measures traffic, processor time and memory per node of membership and configuration, by the number of members,
/// changes, upstreams and routes.

#include "../test/fakefleet.h"

#include "config/configsnapshot.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <malloc.h>

using namespace mustardpond;
using mustardpond::testing::aliveAt;
using mustardpond::testing::FakeFleet;

namespace {

constexpr Millis CONVERGENCE_TIMEOUT{120000};
constexpr Millis STEADY_DURATION{20000};
constexpr std::size_t DATA_CENTRES = 6;
constexpr int PROPAGATION_SAMPLES = 10;

double cpuSeconds()
{
    return static_cast<double>(clock()) / CLOCKS_PER_SEC;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

StoredObject routeObject(std::size_t index, std::uint64_t version)
{
    const std::string number = std::to_string(index);
    return {"route", "r" + number, version, false,
            R"({"prefix":"/organisation-)" + number + R"(/sicil","service":"sicil","class":"roadside-lookup"})"};
}

/// Returns the bytes and processor time per node and second at a rate of object changes (0 when idle), and the longest
/// time until a change has reached all members.
nlohmann::json measureMembers(std::size_t members, double changesPerSecond)
{
    const double heapBefore = heapBytes();
    FakeFleet fleet(DATA_CENTRES, members / DATA_CENTRES, 1, true);
    const std::size_t count = fleet.members().size();
    const bool joined = fleet.runUntil([count](Membership &m) { return aliveAt(m) == count; }, CONVERGENCE_TIMEOUT);
    fleet.run(Millis(10000));
    const double heapPerNode = (heapBytes() - heapBefore) / static_cast<double>(count);
    const std::uint64_t bytes = fleet.bytes();
    const double cpu = cpuSeconds();
    std::uint64_t version = 100;
    double slowest = 0;
    if (changesPerSecond <= 0) {
        fleet.run(STEADY_DURATION);
    } else {
        const Millis interval(1000 / changesPerSecond);
        for (Millis elapsed; elapsed < STEADY_DURATION; elapsed = elapsed + interval) {
            fleet.at("a0").applyObject(routeObject(version % 50, version));
            ++version;
            fleet.run(interval);
        }
    }
    const double seconds = STEADY_DURATION.value / 1000;
    const double bytesPerNode = static_cast<double>(fleet.bytes() - bytes) / static_cast<double>(count) / seconds;
    const double cpuPerNode = (cpuSeconds() - cpu) / static_cast<double>(count) / seconds;
    for (int change = 0; change < PROPAGATION_SAMPLES; ++change) {
        const Millis start = fleet.now();
        fleet.at("a0").applyObject(routeObject(0, ++version));
        fleet.runUntil([version](Membership &m) { return m.objects().version("route", "r0") == version; },
                       CONVERGENCE_TIMEOUT);
        slowest = std::max(slowest, (fleet.now() - start).value);
    }
    return {{"members", count},
            {"joined", joined},
            {"changes", changesPerSecond},
            {"bytesPerSecond", bytesPerNode},
            {"cpuShare", cpuPerNode},
            {"heapBytes", heapPerNode},
            {"slowestSpreadMs", slowest}};
}

/// Returns the encoded size and the memory of a member's record by the number of its upstreams.
nlohmann::json measureRecord(std::size_t upstreams)
{
    Member member;
    member.node = "ankara-1-h100";
    member.region = "ankara";
    member.dataCentre = "ankara-1";
    member.inner = "10.11.12.13:7000";
    member.caller = "10.11.12.13:8080";
    for (std::size_t index = 0; index < upstreams; ++index) {
        member.upstreams.push_back({"sicil-" + std::to_string(100000 + index), "sicil", UpstreamState::Ready, 5});
    }
    wire::GossipT empty;
    wire::GossipT message;
    message.members.push_back(std::make_unique<wire::MemberRecordT>(toRecord(member)));
    const std::size_t bytes = packMessage(message).size() - packMessage(empty).size();
    constexpr std::size_t COPIES = 1000;
    const double heapBefore = heapBytes();
    const std::vector<Member> copies(COPIES, member);
    return {{"upstreams", upstreams}, {"bytes", bytes}, {"heapBytes", (heapBytes() - heapBefore) / COPIES}};
}

/// Returns the memory and processor time per node by the number of routes.
nlohmann::json measureRoutes(std::size_t routes)
{
    const double heapBefore = heapBytes();
    ObjectTable table;
    ConfigBuilder builder([](const StoredObject &, const std::string &) {});
    for (std::size_t index = 0; index < routes; ++index) {
        const StoredObject object = routeObject(index, index + 1);
        table.apply(object);
        builder.apply(object);
    }
    const double cpu = cpuSeconds();
    const auto snapshot = builder.build();
    const double buildSeconds = cpuSeconds() - cpu;
    return {{"routes", routes},
            {"heapBytes", heapBytes() - heapBefore},
            {"buildMs", buildSeconds * 1000},
            {"known", snapshot->routeCount()}};
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("cost of membership and configuration");
    std::string output;
    bool quick = false;
    app.add_option("--json", output, "file for the figures");
    app.add_flag("--quick", quick);
    CLI11_PARSE(app, argc, argv);
    nlohmann::json document = {{"members", nlohmann::json::array()},
                               {"changes", nlohmann::json::array()},
                               {"records", nlohmann::json::array()},
                               {"routes", nlohmann::json::array()}};
    const std::vector<std::size_t> sizes =
        quick ? std::vector<std::size_t>{12, 24, 48, 96} : std::vector<std::size_t>{12, 48, 96, 192, 384};
    for (const std::size_t members : sizes) {
        document["members"].push_back(measureMembers(members, 0));
    }
    for (const double changes : {0.5, 1.0, 2.0, 4.0}) {
        document["changes"].push_back(measureMembers(48, changes));
    }
    for (const std::size_t upstreams : {1, 10, 20, 38}) {
        document["records"].push_back(measureRecord(upstreams));
    }
    for (const std::size_t routes : {1000, 10000, 50000, 100000}) {
        document["routes"].push_back(measureRoutes(routes));
    }
    for (const char *part : {"members", "changes", "records", "routes"}) {
        std::cout << part << "\n";
        for (const auto &row : document[part]) {
            std::cout << "  " << row.dump() << "\n";
        }
    }
    if (!output.empty()) {
        std::ofstream(output) << document.dump(1) << "\n";
    }
    return 0;
}
