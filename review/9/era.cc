/// The store comes back from a copy that is some seconds old, and the operator takes a key away afterwards. The daemons
/// go on accepting the key.
/// Usage: era FOLDER RECORD TROUBLE
#include "../standins-2/rig.hpp"

#include <algorithm>
#include <memory>

using namespace rig;

namespace {

constexpr int ZONES = 2;
constexpr int PER_ZONE = 3;
constexpr int CHANGES = 8; ///< after the copy
constexpr double CHANGE_GAP_S = 0.33;
constexpr double AWAY_S = 1;
constexpr double REVOKE_S = 5;
constexpr double CHECK_S = 10; ///< from REVOKE_S on

std::string ipOf(int zone, int host)
{
    return addressIn(zone, host + 1);
}
std::string nameOf(int zone, int host)
{
    return "n-" + std::to_string(zone) + "-" + std::to_string(host);
}

Json settingsOf(int zone, int host)
{
    const std::string ip = ipOf(zone, host);
    return {
        {"node", nameOf(zone, host)},
        {"region", "region-" + std::to_string(zone)},
        {"dataCentre", "zone-" + std::to_string(zone)},
        {"dialect", "platform"},
        {"refusal", "prompt"},
        {"detection", "gates"},
        {"service", "alpha"},
        {"upstream", ip + ":9001"},
        {"caller", ip + ":8080"},
        {"inner", ip + ":7000"},
        {"local", ip + ":7100"},
        {"ready", ip + ":7200"},
        {"metrics", ip + ":7300"},
        {"platform", STORE_IP + ":7400"},
        {"retries", {{"share", 0.2}, {"extra", 182}, {"windowMs", 10000}}},
        {"keys", {{"strict", true}, {"maxProofAgeMs", 5000}}},
        {"log", "json"},
        {"limits", {{"memoryMb", 260}, {"callerConnections", 3000}, {"waitingPerSlot", 10}, {"stopGraceMs", 6000}}}};
}

/// @param added number of routes that were added to the first one
Json configuration(int version, int added, bool withTakenKey)
{
    Json routes = {routeOf("first", "/first/", "safe", "alpha")};
    for (int number = 0; number < added; ++number) {
        const std::string name = "added" + std::to_string(number);
        routes.push_back(routeOf(name, "/" + name + "/", "safe", "alpha"));
    }
    Json keys = {"key-kept"};
    if (withTakenKey) {
        keys.push_back("key-taken");
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "alpha"}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout_s", 3000},
              {"idle_timeout_s", 15000}}},
            {"tenants", {{{"name", "org"}, {"api_keys", keys}}}}};
}

int ask(const std::string &ip, const std::string &key, const std::string &id)
{
    const std::string fields = "Host: a.example\r\nMustardpond-Timeout-Ms: 4000\r\nAuthorization: Bearer " + key
        + "\r\nMustardpond-Request-Id: " + id + "\r\n";
    const int status = call(ip, 8080, "GET", "/first/x", fields, "", 5).status();
    record.line("request " + id + " with " + key + " at " + ip + ": " + std::to_string(status));
    return status;
}

bool hasRun(const std::string &id)
{
    const auto all = runs.all();
    return std::any_of(all.begin(), all.end(), [&id](const Run &run) { return run.id == id; });
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argv[1];
    record.open(argv[2]);
    const bool trouble = std::string(argv[3]) != "0";
    Store store;
    store.start(STORE_IP, 7400);
    int version = 7;
    store.writeConfig(configuration(version, 0, true));
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::string> hosts;
    for (int zone = 0; zone < ZONES; ++zone) {
        for (int host = 0; host < PER_ZONE; ++host) {
            daemons.start(nameOf(zone, host), settingsOf(zone, host), folder);
            auto upstream = std::make_unique<Upstream>();
            upstream->id = "i-" + nameOf(zone, host);
            upstream->service = "alpha";
            upstream->ip = ipOf(zone, host);
            upstream->start();
            upstreams.push_back(std::move(upstream));
            hosts.push_back(ipOf(zone, host));
        }
    }
    for (const std::string &ip : hosts) {
        const bool serves =
            waitUntil(20, [&] { return isReady(ip); }) && waitUntil(5, [&] {
                return ask(ip, "key-taken", "before-" + ip) == 200 && ask(ip, "key-kept", "before-" + ip) == 200;
            });
        if (!serves) {
            cannotRun("a host does not serve");
        }
    }
    sleepS(5);
    store.copy();
    record.line("the store keeps a copy");
    for (int change = 1; change <= CHANGES; ++change) {
        store.writeConfig(configuration(++version, change, true));
        sleepS(CHANGE_GAP_S);
    }
    record.line("the operator has made " + std::to_string(CHANGES) + " changes");
    sleepS(1);
    if (trouble) {
        store.down = true;
        sleepS(AWAY_S);
        store.comeBackFromCopy();
        store.down = false;
        record.line("the store has been away for 1 s and is back from the copy; Store-Era has risen");
    }
    sleepS(1);
    store.writeConfig(configuration(version, CHANGES, true));
    record.line("the operator has written its last configuration again");
    sleepS(3);
    const double takenAt = store.writeConfig(configuration(++version, CHANGES, false));
    record.line("the operator has taken key-taken away; the store has acknowledged it");
    sleepS(takenAt + REVOKE_S + 0.1 - nowS());
    int asked = 0;
    int ran = 0;
    int kept = 0;
    for (int round = 0; nowS() < takenAt + REVOKE_S + CHECK_S; ++round) {
        for (const std::string &ip : hosts) {
            const std::string id = "late-" + std::to_string(round) + "-" + ip;
            ask(ip, "key-taken", id);
            ++asked;
            ran += hasRun(id) ? 1 : 0;
            kept += ask(ip, "key-kept", "kept-" + std::to_string(round) + "-" + ip) == 200 ? 1 : 0;
        }
        sleepS(0.25);
    }
    const std::string result = std::to_string(ran) + " of " + std::to_string(asked)
        + " requests with the key that was taken away, sent more than 5 s after the acknowledgement, ran; "
        + std::to_string(kept) + " with the other key were served";
    record.line(result);
    std::puts(result.c_str());
    std::fflush(stdout);
    daemons.killAll();
    _exit(asked == 0 ? 2 : ran > 0 ? 1 : 0);
}
