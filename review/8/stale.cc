/// The two hosts of each zone that read the store for it are cut off, and the configuration changes. The other hosts of
/// the zone reach the store and each other, but go on with the old configuration for seconds.
/// Usage: stale FOLDER RECORD TROUBLE
#include "../standins-2/rig.hpp"

#include <memory>

using namespace rig;

namespace {

constexpr int ZONES = 2;
constexpr int PER_ZONE = 6;
constexpr double CONFIG_APPLY_S = 2;
constexpr double CUT_S = 8;
constexpr double CHANGE_AFTER_S = 0.5; ///< from the start of the cut

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
        {"advertisedInner", addressIn(zone, host + 1, true) + ":7000"},
        {"bindAddress", ip},
        {"local", ip + ":7100"},
        {"ready", ip + ":7200"},
        {"metrics", ip + ":7300"},
        {"platform", STORE_IP + ":7400"},
        {"retries", {{"share", 0.2}, {"extra", 56}, {"windowMs", 10000}}},
        {"log", "json"},
        {"limits", {{"memoryMb", 260}, {"callerConnections", 3000}, {"waitingPerSlot", 10}, {"stopGraceMs", 6000}}}};
}

Json configuration(int version, bool withNewRoute)
{
    Json routes = {routeOf("first", "/first/", "safe", "alpha")};
    if (withNewRoute) {
        routes.push_back(routeOf("added", "/added/", "safe", "alpha"));
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "alpha"}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout_s", 3000},
              {"idle_timeout_s", 15000}}}};
}

/// Whether the daemon's log says that it reads the store for its zone.
bool readsStore(const std::string &folder, const std::string &name)
{
    std::ifstream log(folder + "/" + name + ".log");
    bool reads = false;
    for (std::string line; std::getline(log, line);) {
        if (line.find("\"watch-changed\"") != std::string::npos) {
            reads = line.find("\"watches\":true") != std::string::npos;
        }
    }
    return reads;
}

int ask(const std::string &ip, const std::string &path, const std::string &id)
{
    const std::string fields =
        "Host: a.example\r\nMustardpond-Timeout-Ms: 4000\r\nMustardpond-Request-Id: " + id + "\r\n";
    return call(ip, 8080, "GET", path, fields, "", 5).status();
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
    Links links;
    store.start(STORE_IP, 7400);
    store.writeConfig(configuration(7, false));
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int zone = 0; zone < ZONES; ++zone) {
        for (int host = 0; host < PER_ZONE; ++host) {
            links.relay(addressIn(zone, host + 1, true), ipOf(zone, host), 7000);
            daemons.start(nameOf(zone, host), settingsOf(zone, host), folder);
            auto upstream = std::make_unique<Upstream>();
            upstream->id = "i-" + nameOf(zone, host);
            upstream->service = "alpha";
            upstream->ip = ipOf(zone, host);
            upstream->start();
            upstreams.push_back(std::move(upstream));
        }
    }
    for (int zone = 0; zone < ZONES; ++zone) {
        for (int host = 0; host < PER_ZONE; ++host) {
            if (!waitUntil(20, [&] { return isReady(ipOf(zone, host)); })) {
                cannotRun("a host did not become ready");
            }
        }
    }
    sleepS(10);
    std::set<std::string> readers;
    std::vector<std::string> others;
    for (int zone = 0; zone < ZONES; ++zone) {
        for (int host = 0; host < PER_ZONE; ++host) {
            const std::string name = nameOf(zone, host);
            const bool reads = readsStore(folder, name);
            record.line(name + (reads ? " reads the store for its zone" : " does not read the store"));
            reads ? (void)readers.insert(ipOf(zone, host)) : others.push_back(ipOf(zone, host));
        }
    }
    if (readers.size() != 2 * ZONES) {
        cannotRun("not two hosts of each zone read the store");
    }
    for (const std::string &ip : others) {
        if (ask(ip, "/first/x", "before-" + ip) != 200) {
            cannotRun("a host does not serve");
        }
    }
    const double cutFrom = nowS();
    if (trouble) {
        links.cutOff(readers);
        record.line("4 of 12 hosts are cut off from all other hosts: those that read the store. All reach the store");
    }
    sleepS(CHANGE_AFTER_S);
    const double ackedAt = store.writeConfig(configuration(9, true));
    record.line("the operator's change, which adds the route /added/, is acknowledged");
    int late = 0;
    int asked = 0;
    double lastLate = 0;
    sleepS(ackedAt + CONFIG_APPLY_S + 0.05 - nowS());
    for (int round = 0; nowS() < cutFrom + CUT_S; ++round) {
        for (const std::string &ip : others) {
            const double sentAt = nowS();
            const int status = ask(ip, "/added/x", "added-" + std::to_string(round) + "-" + ip);
            ++asked;
            record.line("request to /added/ at " + ip + ", sent " + std::to_string(sentAt - ackedAt)
                        + " s after the acknowledgement: " + std::to_string(status));
            if (status == 404) {
                ++late;
                lastLate = sentAt - ackedAt;
            }
        }
        sleepS(0.1);
    }
    const std::string result = std::to_string(late) + " of " + std::to_string(asked)
        + " requests that were sent over 2 s after the acknowledgement, to hosts that were not cut off, got 404; the "
          "last "
        + std::to_string(lastLate) + " s after it";
    record.line(result);
    std::puts(result.c_str());
    std::fflush(stdout);
    daemons.killAll();
    _exit(asked == 0 ? 2 : late > 0 ? 1 : 0);
}
