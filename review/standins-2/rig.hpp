/// Stand-ins for the users' store, upstreams, links and clients, in one process with one clock. The daemons are started
/// as separate processes. Blocking sockets, one thread a connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point startOfRun = Clock::now();
inline double nowS()
{
    return std::chrono::duration<double>(Clock::now() - startOfRun).count();
}
inline void sleepS(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The record of the run: one line an event.
class Record
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    void line(const std::string &text)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_file) {
            std::fprintf(m_file, "%8.3f  %s\n", nowS(), text.c_str());
            std::fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};
inline Record record;

/// Ends the daemons and the run, whose case could not run.
[[noreturn]] inline void cannotRun(const std::string &why);

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenAt(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        cannotRun("cannot listen at " + ip + ":" + std::to_string(port));
    }
    return fd;
}

/// Whether all ports that a machine uses are free at the address.
inline bool isFree(const std::string &ip)
{
    for (const int port : {7000, 7100, 7200, 7300, 7400, 8080, 9001}) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = addressOf(ip, port);
        const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        close(fd);
        if (!bound) {
            return false;
        }
    }
    return true;
}

/// The second number of all machines' loopback addresses. The relays of links use the next one.
inline int freeNetwork()
{
    for (int tries = 0; tries < 100; ++tries) {
        const int network = 20 + 2 * static_cast<int>((getpid() + tries) % 100);
        const std::string prefix = "127." + std::to_string(network) + ".";
        const std::string relays = "127." + std::to_string(network + 1) + ".";
        if (isFree(prefix + "90.100") && isFree(prefix + "91.1") && isFree(relays + "91.1")) {
            return network;
        }
    }
    cannotRun("no free addresses");
}
inline const int network = freeNetwork();

/// Address of a host. Zone -1 is the store's.
inline std::string addressIn(int zone, int host, bool relay = false)
{
    return "127." + std::to_string(network + (relay ? 1 : 0)) + "." + std::to_string(91 + zone) + "."
        + std::to_string(host);
}
inline const std::string STORE_IP = addressIn(-1, 100);

/// Returns -1 if the connection fails.
inline int connectTo(const std::string &ip, int port, double timeoutS, const std::string &from = {})
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from.empty()) {
        const auto source = addressOf(from, 0);
        bind(fd, reinterpret_cast<const sockaddr *>(&source), sizeof(source));
    }
    timeval time{static_cast<time_t>(timeoutS),
                 static_cast<suseconds_t>((timeoutS - static_cast<time_t>(timeoutS)) * 1e6)};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const auto count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct Message {
    std::string start; ///< the request line or the status line
    std::map<std::string, std::string> fields; ///< by name in lower case
    std::string body;
    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    std::string word(int index) const
    {
        std::size_t at = 0;
        for (; index > 0; --index) {
            at = start.find(' ', at) + 1;
        }
        return start.substr(at, start.find(' ', at) - at);
    }
    int status() const
    {
        return start.size() > 11 ? std::atoi(start.c_str() + 9) : 0;
    }
};

/// Reads HTTP messages with a length or in chunks.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }
    bool readHead(Message &message)
    {
        message = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        std::size_t at = m_buffer.find("\r\n");
        message.start = m_buffer.substr(0, at);
        while (at < end) {
            const std::size_t next = m_buffer.find("\r\n", at + 2);
            const std::string line = m_buffer.substr(at + 2, next - at - 2);
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char &character : name) {
                character = static_cast<char>(std::tolower(character));
            }
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields[name] = value == std::string::npos ? "" : line.substr(value);
            at = next;
        }
        m_buffer.erase(0, end + 4);
        return true;
    }
    bool readBody(Message &message)
    {
        if (message.field("transfer-encoding") == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill()) {
                        return false;
                    }
                }
                const std::size_t size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
                while (m_buffer.size() < end + 2 + size + 2) {
                    if (!fill()) {
                        return false;
                    }
                }
                message.body += m_buffer.substr(end + 2, size);
                m_buffer.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    return true;
                }
            }
        }
        const std::string length = message.field("content-length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill()) {
                return false;
            }
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    bool read(Message &message)
    {
        return readHead(message) && readBody(message);
    }
    bool hasMore() const
    {
        return !m_buffer.empty();
    }

private:
    bool fill()
    {
        char bytes[65536];
        const auto count = recv(m_fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    int m_fd;
    std::string m_buffer;
};

using Handler = std::function<void(int fd, const sockaddr_in &peer)>;

inline void serveAt(const std::string &ip, int port, Handler handler)
{
    const int listener = listenAt(ip, port);
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            sockaddr_in peer{};
            socklen_t length = sizeof(peer);
            const int fd = accept4(listener, reinterpret_cast<sockaddr *>(&peer), &length, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([fd, peer, handler] {
                handler(fd, peer);
                close(fd);
            }).detach();
        }
    }).detach();
}

inline std::string answerText(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
        + fields + "\r\n" + body;
}

/// One call over a connection of its own. Status 0: no answer.
inline Message call(const std::string &ip, int port, const std::string &method, const std::string &path,
                    const std::string &fields, const std::string &body, double timeoutS, const std::string &from = {})
{
    Message answer;
    const int fd = connectTo(ip, port, timeoutS, from);
    if (fd < 0) {
        return answer;
    }
    const bool sent = sendAll(fd,
                              method + " " + path + " HTTP/1.1\r\nConnection: close\r\nContent-Length: "
                                  + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body);
    Reader reader(fd);
    if (!sent || !reader.read(answer)) {
        answer.start.clear();
    }
    close(fd);
    return answer;
}

/// The platform's store: objects by kind and name, one revision counter, conditional writes, watches.
class Store
{
public:
    void start(const std::string &ip, int port)
    {
        serveAt(ip, port, [this](int fd, const sockaddr_in &peer) { serve(fd, peer); });
    }
    /// The operator's write of config/main. Returns the time of the acknowledgement.
    double writeConfig(const Json &spec)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        apply("config", "main", spec, false);
        return nowS();
    }
    /// Keeps a copy of what is stored now.
    void copy()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_copy = m_objects;
        m_copiedRevision = m_revision;
    }
    /// Comes back from the copy: later writes are lost, and revisions go back. The header Store-Era rises.
    void comeBackFromCopy()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_objects = m_copy;
        m_revision = m_copiedRevision;
        m_history.clear();
        ++m_era;
    }
    std::atomic<bool> down{false}; ///< every connection is closed unanswered
    std::function<bool(const std::string &ip)> refuses; ///< machines that are not served

private:
    struct Change {
        std::uint64_t revision;
        std::string kind;
        Json event;
    };
    void serve(int fd, const sockaddr_in &peer)
    {
        char ip[32];
        inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip));
        Reader reader(fd);
        Message request;
        while (reader.read(request)) {
            if (down || (refuses && refuses(ip))) {
                return;
            }
            std::string answer = handle(request);
            if (down || (refuses && refuses(ip))) {
                return;
            }
            answer.insert(answer.find("\r\n") + 2, "Store-Era: " + std::to_string(m_era) + "\r\n");
            if (!sendAll(fd, answer)) {
                return;
            }
        }
    }
    std::string handle(const Message &request)
    {
        const std::string method = request.word(0);
        std::string path = request.word(1);
        std::map<std::string, std::string> query;
        const auto mark = path.find('?');
        if (mark != std::string::npos) {
            std::string rest = path.substr(mark + 1) + "&";
            path = path.substr(0, mark);
            for (std::size_t at = 0, end = 0; (end = rest.find('&', at)) != std::string::npos; at = end + 1) {
                const std::string pair = rest.substr(at, end - at);
                query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
            }
        }
        const std::string prefix = "/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0) {
            return answerText(404, "{}");
        }
        const std::string key = path.substr(prefix.size());
        const std::string kind = key.substr(0, key.find('/'));
        const std::string name = key.find('/') == std::string::npos ? "" : key.substr(key.find('/') + 1);
        if (method == "GET" && name.empty() && query.count("watch") > 0) {
            return watch(kind, std::stoull(query["watch"]), std::stod(query["wait_ms"]) / 1000);
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        if (method == "GET" && name.empty()) {
            Json items = Json::array();
            for (const auto &[id, object] : m_objects) {
                if (id.first == kind && id.second > query["after"]) {
                    items.push_back(object);
                }
            }
            return answerText(200, Json{{"items", items}, {"has_more", false}, {"current_rev", m_revision}}.dump());
        }
        const auto found = m_objects.find({kind, name});
        if (method == "GET") {
            return found == m_objects.end() ? answerText(404, "{}") : answerText(200, found->second.dump());
        }
        const Json body = Json::parse(request.body, nullptr, false);
        std::string target = name;
        if (method == "POST") {
            target = body.at("metadata").at("name");
            if (m_objects.count({kind, target}) > 0) {
                return answerText(409, m_objects[{kind, target}].dump());
            }
        } else if (found == m_objects.end()) {
            return answerText(404, "{}");
        }
        std::uint64_t expected = query.count("rev") > 0 ? std::stoull(query["rev"]) : 0;
        if (body.is_object() && body.contains("metadata") && body["metadata"].contains("rev")) {
            expected = body["metadata"]["rev"];
        }
        if (expected != 0 && m_objects[{kind, target}]["metadata"]["rev"] != expected) {
            return answerText(409, m_objects[{kind, target}].dump());
        }
        return answerText(
            method == "POST" ? 201 : 200,
            apply(kind, target, body.is_object() ? body.value("spec", Json()) : Json(), method == "DELETE").dump());
    }
    Json apply(const std::string &kind, const std::string &name, const Json &spec, bool removed)
    {
        ++m_revision;
        Json object = removed ? m_objects[{kind, name}] : Json{{"spec", spec}, {"status", Json::object()}};
        object["metadata"]["name"] = name;
        object["metadata"]["rev"] = m_revision;
        if (removed) {
            m_objects.erase({kind, name});
        } else {
            m_objects[{kind, name}] = object;
        }
        m_history.push_back({m_revision, kind, {{"removed", removed}, {"object", object}}});
        return object;
    }
    std::string watch(const std::string &kind, std::uint64_t since, double waitS)
    {
        const double end = nowS() + waitS;
        while (true) {
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                if (since > m_revision) {
                    return answerText(410, "{}");
                }
                Json events = Json::array();
                for (const Change &change : m_history) {
                    if (change.revision > since && change.kind == kind) {
                        events.push_back(change.event);
                    }
                }
                if (!events.empty() || nowS() >= end || down) {
                    return answerText(200, Json{{"events", events}, {"current_rev", m_revision}}.dump());
                }
            }
            sleepS(0.01);
        }
    }
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Json> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 100;
    std::map<std::pair<std::string, std::string>, Json> m_copy;
    std::uint64_t m_copiedRevision = 0;
    std::atomic<int> m_era{1};
};

/// Links between machines, relayed at an address for each machine. A cut link passes nothing and hangs.
class Links
{
public:
    void relay(const std::string &front, const std::string &ip, int port)
    {
        serveAt(front, port, [this, ip, port](int fd, const sockaddr_in &peer) {
            char source[32];
            inet_ntop(AF_INET, &peer.sin_addr, source, sizeof(source));
            run(fd, source, ip, port);
        });
    }
    void cutOff(const std::set<std::string> &hosts)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_cutOff = hosts;
    }
    bool isCut(const std::string &a, const std::string &b)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return a != b && (m_cutOff.count(a) > 0 || m_cutOff.count(b) > 0);
    }

private:
    void run(int client, const std::string &source, const std::string &target, int port)
    {
        while (isCut(source, target)) {
            sleepS(0.02);
        }
        const int server = connectTo(target, port, 60);
        if (server < 0) {
            return;
        }
        pollfd both[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
        char bytes[65536];
        while (true) {
            if (poll(both, 2, 100) < 0) {
                break;
            }
            if (isCut(source, target)) {
                sleepS(0.02);
                continue;
            }
            bool ended = false;
            for (int side = 0; side < 2; ++side) {
                if ((both[side].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
                    continue;
                }
                const auto count = recv(both[side].fd, bytes, sizeof(bytes), 0);
                if (count <= 0 || !sendAll(both[1 - side].fd, std::string(bytes, static_cast<std::size_t>(count)))) {
                    ended = true;
                }
            }
            if (ended) {
                break;
            }
        }
        close(server);
    }
    std::mutex m_mutex;
    std::set<std::string> m_cutOff;
};

struct Run {
    double at;
    std::string id;
    std::string tenant;
    std::string upstream;
};

/// All requests that upstreams began to work on.
class Runs
{
public:
    void add(const Run &run)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.push_back(run);
    }
    std::vector<Run> all()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};
inline Runs runs;

/// An upstream: slots, sealed answers, "not executed" answers, heartbeats.
class Upstream
{
public:
    std::string id;
    std::string service;
    std::string ip;
    int port = 9001;
    int controlPort = 7100;
    int slots = 5;
    double workS = 0.02;
    std::atomic<bool> draining{false};

    void start()
    {
        m_born =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count();
        serveAt(ip, port, [this](int fd, const sockaddr_in &) { serve(fd); });
        std::thread([this] {
            while (true) {
                beat();
                sleepS(0.5);
            }
        }).detach();
    }

private:
    void beat()
    {
        const Json body = {{"service", service},    {"address", ip + ":" + std::to_string(port)},
                           {"zone", "z"},           {"version", "v1"},
                           {"slots", slots},        {"state", draining ? "draining" : "ready"},
                           {"cold_remaining_s", 0}, {"sequence", ++m_sequence},
                           {"born", m_born}};
        call(ip, controlPort, "PUT", "/instances/" + id, "Host: control\r\n", body.dump(), 1);
    }
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request)) {
            const std::string requestId = request.field("mustardpond-request-id");
            const std::string echo = "Mustardpond-Request-Id: " + requestId + "\r\n";
            const std::string target = request.field("mustardpond-target-instance");
            if (!target.empty() && target != id) {
                if (!sendAll(fd, answerText(421, "", echo + "Mustardpond-Not-Executed: 1\r\n"))) {
                    return;
                }
                continue;
            }
            if (m_running >= slots) {
                if (!sendAll(fd, answerText(503, "", echo + "Mustardpond-Not-Executed: 1\r\n"))) {
                    return;
                }
                continue;
            }
            ++m_running;
            runs.add({nowS(), requestId, request.field("mustardpond-tenant"), id});
            sleepS(workS);
            --m_running;
            const std::string answer =
                answerText(200, "done by " + id, echo + "Mustardpond-Response-Seal: seal-" + id + "\r\n");
            const bool isHead = request.word(0) == "HEAD"; // its answer has no body, whatever its fields say
            if (!sendAll(fd, isHead ? answer.substr(0, answer.find("\r\n\r\n") + 4) : answer)) {
                return;
            }
        }
    }
    std::int64_t m_born = 0;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<int> m_running{0};
};

/// Daemons, started with the command of the deploy file.
class Daemons
{
public:
    void start(const std::string &name, const Json &settings, const std::string &folder)
    {
        const std::string path = folder + "/" + name + ".json";
        std::ofstream(path) << settings.dump(1);
        m_paths[name] = path;
        launch(name, folder);
    }
    void launch(const std::string &name, const std::string &folder)
    {
        const std::string path = m_paths[name];
        const std::string log = folder + "/" + name + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // if the stand-ins end, the daemons must not stay
            setenv("MUSTARDPOND_SETTINGS", path.c_str(), 1);
            if (!std::freopen(log.c_str(), "a", stdout) || dup2(1, 2) < 0) {
                _exit(127);
            }
            execl("target/mustardpond", "target/mustardpond", static_cast<char *>(nullptr));
            _exit(127);
        }
        m_pids[name] = pid;
        record.line("start of daemon " + name);
    }
    void signalTo(const std::string &name, int signal)
    {
        ::kill(m_pids[name], signal);
        record.line("signal " + std::to_string(signal) + " to daemon " + name);
    }
    void wait(const std::string &name)
    {
        waitpid(m_pids[name], nullptr, 0);
    }
    bool hasEnded(const std::string &name)
    {
        return waitpid(m_pids[name], nullptr, WNOHANG) != 0;
    }
    void killAll()
    {
        for (const auto &[name, pid] : m_pids) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
        }
        for (const auto &[name, pid] : m_pids) {
            waitpid(pid, nullptr, 0);
        }
    }

private:
    std::map<std::string, std::string> m_paths;
    std::map<std::string, pid_t> m_pids;
};
inline Daemons daemons;

inline void cannotRun(const std::string &why)
{
    record.line("cannot run: " + why);
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    daemons.killAll();
    _exit(2);
}

inline Json routeOf(const std::string &name, const std::string &prefix, const std::string &kind,
                    const std::string &service)
{
    return {{"name", name},       {"host", "a.example"}, {"path_prefix", prefix},    {"kind", kind},
            {"service", service}, {"timeout_s", 8000},   {"target_latency_s", 1500}, {"priority", 1},
            {"max_attempts", 2}};
}

inline bool isReady(const std::string &ip)
{
    return call(ip, 7200, "GET", "/ready", "Host: ready\r\n", "", 1).status() == 200;
}

inline bool waitUntil(double seconds, const std::function<bool()> &condition)
{
    for (const double end = nowS() + seconds; nowS() < end; sleepS(0.05)) {
        if (condition()) {
            return true;
        }
    }
    return false;
}

} // namespace rig
