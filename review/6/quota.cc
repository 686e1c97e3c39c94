/// Hosts that are cut off from all others, but not from the store, are killed and start again. Each then takes itself
/// for the only host of its data centre and grants the data centre's whole share of a tenant's quota.
/// Usage: quota FOLDER RECORD TROUBLE
#include "../standins-2/rig.hpp"

#include <algorithm>
#include <memory>

using namespace rig;

namespace {

constexpr double RATE = 60;
constexpr double BURST = 12;
constexpr double WINDOW_S = 5;
constexpr double OVERAGE = 0.1;
constexpr double SLACK = 20;
constexpr int ZONES = 6;
constexpr int PER_ZONE = 3;
constexpr std::size_t AT_A_TIME = 4;
constexpr double GAP_S = 1.3;
constexpr double SENT_PER_S = 14; ///< at each host, by the clients of the tenant

std::string zoneName(int zone)
{
    return "zone-" + std::string(1, static_cast<char>('a' + zone));
}
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
    Json zones = Json::array();
    for (int other = 0; other < ZONES; ++other) {
        zones.push_back(zoneName(other));
    }
    return {
        {"node", nameOf(zone, host)},
        {"region", "region-" + std::to_string(zone / 2)},
        {"dataCentre", zoneName(zone)},
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
        {"retries", {{"share", 0.2}, {"extra", 182}, {"windowMs", 10000}}},
        {"keys", {{"strict", true}, {"maxProofAgeMs", 5000}}},
        {"quota", {{"windowMs", 5000}, {"overage", OVERAGE}, {"slack", SLACK}, {"dataCentres", zones}}},
        {"log", "json"},
        {"limits", {{"memoryMb", 260}, {"callerConnections", 3000}, {"waitingPerSlot", 10}, {"stopGraceMs", 6000}}}};
}

std::mutex sentMutex;
std::map<std::string, double> sentAt; ///< by request id
std::map<int, int> statuses;

void sendAtRate(int zone, int host, std::atomic<bool> &ended)
{
    const std::string ip = ipOf(zone, host);
    double next = nowS();
    for (int number = 0; !ended; ++number) {
        next += 1 / SENT_PER_S;
        if (next > nowS()) {
            sleepS(next - nowS());
        }
        const std::string id = "q" + std::to_string(zone) + std::to_string(host) + "x" + std::to_string(number);
        std::thread([ip, id] {
            {
                std::lock_guard<std::mutex> lock(sentMutex);
                sentAt[id] = nowS();
            }
            const Message answer =
                call(ip, 8080, "GET", "/safe/x",
                     "Host: a.example\r\nAuthorization: Bearer key-hot\r\nMustardpond-Timeout-Ms: 4000\r\n"
                     "Mustardpond-Request-Id: "
                         + id + "\r\n",
                     "", 5);
            std::lock_guard<std::mutex> lock(sentMutex);
            ++statuses[answer.status()];
            record.line("answer " + id + " at " + ip + ": " + std::to_string(answer.status()));
        }).detach();
    }
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
    const Json config = {
        {"version", 7},
        {"routes", {routeOf("safe", "/safe/", "safe", "alpha")}},
        {"services", {{{"name", "alpha"}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 67108864},
          {"header_timeout_s", 3000},
          {"idle_timeout_s", 15000}}},
        {"tenants", {{{"name", "hot"}, {"api_keys", {"key-hot"}}, {"rate_per_s", RATE}, {"burst", BURST}}}}};
    store.writeConfig(config);
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
    const bool ready = waitUntil(20, [] {
        for (int zone = 0; zone < ZONES; ++zone) {
            for (int host = 0; host < PER_ZONE; ++host) {
                if (!isReady(ipOf(zone, host))) {
                    return false;
                }
            }
        }
        return true;
    });
    if (!ready) {
        cannotRun("the hosts did not become ready");
    }
    sleepS(8);
    std::atomic<bool> ended{false};
    std::vector<std::thread> clients;
    for (int zone = 0; zone < ZONES; ++zone) {
        for (int host = 0; host < PER_ZONE; ++host) {
            clients.emplace_back([zone, host, &ended] { sendAtRate(zone, host, ended); });
        }
    }
    sleepS(6);
    const double cutFrom = nowS();
    const std::vector<int> zones = {0, 1, 2, 3, 4, 5}; // one host in each: 6 of 18 hosts
    if (trouble) {
        std::set<std::string> cut;
        for (const int zone : zones) {
            cut.insert(ipOf(zone, 0));
        }
        links.cutOff(cut);
        record.line("6 of 18 hosts are cut off from all other hosts; they still reach the store");
    }
    // Planned work, with the disruption and without: they are stopped and started in turn, as the site's plan has it.
    std::set<int> started;
    for (std::size_t stopped = 0; started.size() < zones.size(); sleepS(0.02)) {
        const double due = cutFrom + 0.5 + GAP_S * static_cast<double>(stopped / AT_A_TIME);
        if (stopped < zones.size() && nowS() >= due) {
            daemons.signalTo(nameOf(zones[stopped++], 0), SIGTERM);
        }
        for (std::size_t index = 0; index < stopped; ++index) {
            const std::string name = nameOf(zones[index], 0);
            if (started.count(zones[index]) == 0 && daemons.hasEnded(name)) {
                daemons.launch(name, folder);
                started.insert(zones[index]);
            }
        }
    }
    sleepS(cutFrom + 12 - nowS());
    links.cutOff({});
    record.line("no host is cut off any more");
    sleepS(6);
    ended = true;
    for (auto &client : clients) {
        client.join();
    }
    sleepS(1.5);
    // The rule: requests that are both sent and run in a window.
    std::vector<std::pair<double, double>> both; // sent, run
    std::set<std::string> counted;
    std::map<std::string, int> byUpstream;
    {
        std::lock_guard<std::mutex> lock(sentMutex);
        for (const Run &run : runs.all()) {
            if (run.tenant == "hot" && sentAt.count(run.id) > 0 && counted.insert(run.id).second) {
                both.emplace_back(sentAt[run.id], run.at);
                ++byUpstream[run.upstream];
            }
        }
    }
    const double limit = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK;
    std::size_t most = 0;
    double mostAt = 0;
    for (const auto &first : both) {
        const auto count = static_cast<std::size_t>(std::count_if(both.begin(), both.end(), [&](const auto &request) {
            return request.first >= first.first && request.second <= first.first + WINDOW_S;
        }));
        if (count > most) {
            most = count;
            mostAt = first.first;
        }
    }
    for (const auto &[status, count] : statuses) {
        record.line("answers with status " + std::to_string(status) + ": " + std::to_string(count));
    }
    char text[200];
    std::snprintf(text, sizeof(text),
                  "most requests of the tenant sent and run in %.0f s: %zu, from %.3f s on; the limit is %.1f",
                  WINDOW_S, most, mostAt, limit);
    record.line(text);
    std::puts(text);
    daemons.killAll();
    const bool served = statuses[200] > 0;
    std::fflush(stdout);
    _exit(!served ? 2 : static_cast<double>(most) > limit ? 1 : 0);
}
