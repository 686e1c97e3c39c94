// Stand-in for the platform's metadata store, as the users' PROTOCOL.md describes it: objects by kind and name, one
// revision counter, conditional writes, lists and watches. It does nothing wrong. Usage: store LISTEN
#include "http.hpp"
#include <condition_variable>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using nlohmann::json;

struct Change {
    std::uint64_t revision;
    std::string kind;
    json event;
};
static std::mutex g_mutex;
static std::condition_variable g_changed;
static std::map<std::string, std::map<std::string, json>> g_objects; // by kind and name
static std::vector<Change> g_history;
static std::uint64_t g_revision = 100;

static std::string reply(int status, const json &body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(text.size()) + "\r\n\r\n" + text;
}
static std::string parameter(const std::string &target, const std::string &name)
{
    for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
        if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
            const auto from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
    }
    return {};
}
static json change(const std::string &kind, const json &object, bool removed)
{
    g_history.push_back({g_revision, kind, {{"removed", removed}, {"object", object}}});
    g_changed.notify_all();
    return object;
}
static std::string watch(const std::string &kind, const std::string &target)
{
    const std::uint64_t since = std::stoull(parameter(target, "watch"));
    const std::string wait = parameter(target, "wait_ms");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
    std::unique_lock<std::mutex> lock(g_mutex);
    while (true) {
        json events = json::array();
        for (const Change &entry : g_history) {
            if (entry.revision > since && entry.kind == kind) {
                events.push_back(entry.event);
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end) {
            return reply(200, {{"events", events}, {"current_rev", g_revision}});
        }
        g_changed.wait_until(lock, end);
    }
}
static std::string handle(const Message &request)
{
    const std::string method = request.head.substr(0, request.head.find(' '));
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path.compare(0, 9, "/objects/") != 0) {
        return reply(404, json::object());
    }
    std::string kind = path.substr(9);
    std::string name;
    bool status = false;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
        if (const auto end = name.rfind("/status"); end != std::string::npos && end + 7 == name.size()) {
            status = true;
            name.resize(end);
        }
    }
    if (method == "GET" && name.empty() && !parameter(target, "watch").empty()) {
        return watch(kind, target);
    }
    const std::lock_guard<std::mutex> lock(g_mutex);
    auto &objects = g_objects[kind];
    if (method == "GET" && name.empty()) {
        json items = json::array();
        for (const auto &[key, object] : objects) {
            if (key > parameter(target, "after")) {
                items.push_back(object);
            }
        }
        return reply(200, {{"items", items}, {"has_more", false}, {"current_rev", g_revision}});
    }
    const json body = request.body.empty() ? json::object() : json::parse(request.body);
    if (method == "POST") {
        name = body.at("metadata").at("name").get<std::string>();
    }
    const auto found = objects.find(name);
    if (method == "POST") {
        if (found != objects.end()) {
            return reply(409, found->second);
        }
        ++g_revision;
        objects[name] = {{"metadata", {{"name", name}, {"rev", g_revision}, {"created_rev", g_revision},
                                       {"finalizers", json::array()}, {"deleting", false}}},
                         {"spec", body.value("spec", json())}, {"status", nullptr}};
        return reply(201, change(kind, objects[name], false));
    }
    if (found == objects.end()) {
        return reply(404, json::object());
    }
    json &object = found->second;
    if (method == "GET") {
        return reply(200, object);
    }
    const json meta = body.value("metadata", json::object());
    const std::string asked = parameter(target, "rev");
    const std::uint64_t expected = meta.contains("rev") ? meta["rev"].get<std::uint64_t>()
        : asked.empty()                                 ? 0
                                                        : std::stoull(asked);
    if (expected != 0 && expected != object["metadata"]["rev"].get<std::uint64_t>()) {
        return reply(409, object);
    }
    const char *part = status ? "status" : "spec";
    if (method == "PUT" && object[part] == body.value(part, json())) {
        return reply(200, object);
    }
    ++g_revision;
    object["metadata"]["rev"] = g_revision;
    if (method == "PUT") {
        object[part] = body.value(part, json());
        return reply(200, change(kind, object, false));
    }
    const json removed = change(kind, object, true);
    objects.erase(found);
    return reply(200, removed);
}
static void serve(int fd)
{
    std::string buffer;
    Message request;
    while (readMessage(fd, buffer, request)) {
        std::string answer;
        try {
            answer = handle(request);
        } catch (const std::exception &error) {
            answer = reply(400, {{"error", error.what()}});
        }
        if (!sendAll(fd, answer) || strcasecmp(request.field("Connection").c_str(), "close") == 0) {
            break;
        }
    }
    close(fd);
}
int main(int argc, char **argv)
{
    if (argc != 2) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const int listener = listenAt(argv[1]);
    while (true) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd >= 0) {
            std::thread(serve, fd).detach();
        }
    }
}
