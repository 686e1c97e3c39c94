// Stand-in for an application upstream, as the users' PROTOCOL.md describes one: heartbeats to the node beside it,
// sealed answers with the request's id, slots, 421 for another instance, and calls of its own. It writes one line for
// each event to standard output.
// A request's path tells what it does: .../run-MS works MS milliseconds; .../run-MS/call-MS then makes a call of its
// own and works again. It does not drop a request when its connection closes (PROTOCOL.md: "most upstreams" do).
// Usage: upstream ID SERVICE LISTEN CONTROL OUTBOUND SLOTS [CALL-HOST CALL-PATH]
#include "http.hpp"
#include <atomic>
#include <csignal>
#include <thread>

static std::string g_id, g_service, g_listen, g_control, g_outbound, g_callHost, g_callPath;
static int g_slots;
static std::atomic<int> g_running{0};
static std::mutex g_log;
static const long long g_born = nowMs();

static void say(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(g_log);
    std::printf("%lld %s\n", nowMs(), line.c_str());
    std::fflush(stdout);
}
static void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
static int numberAfter(const std::string &text, const std::string &word)
{
    const auto at = text.find(word);
    return at == std::string::npos ? -1 : std::atoi(text.c_str() + at + word.size());
}
static std::string answer(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}
static int callThrough(const std::string &id)
{
    const int fd = connectTo(g_outbound, 3);
    if (fd < 0) {
        return 0;
    }
    Message reply;
    std::string buffer;
    const bool answered = sendAll(fd, "GET " + g_callPath + " HTTP/1.1\r\nHost: " + g_callHost + "\r\nMustardpond-Request-Id: " + id
                                      + "\r\nMustardpond-Timeout-Ms: 3000\r\n\r\n")
        && readMessage(fd, buffer, reply);
    close(fd);
    return answered ? reply.status() : -1;
}
static void serve(int fd)
{
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::string buffer;
    Message request;
    while (readMessage(fd, buffer, request)) {
        const std::string id = request.field("Mustardpond-Request-Id");
        const std::string wanted = request.field("Mustardpond-Target-Instance");
        const std::string target = request.target();
        if (!wanted.empty() && wanted != g_id) {
            sendAll(fd, answer(421, "Mustardpond-Instance-Id: " + g_id + "\r\n", ""));
            continue;
        }
        if (target == "/health") {
            sendAll(fd, answer(200, "Mustardpond-Instance-Id: " + g_id + "\r\n", ""));
            continue;
        }
        if (++g_running > g_slots) {
            --g_running;
            sendAll(fd, answer(503, "Mustardpond-Not-Executed: 1\r\nMustardpond-Request-Id: " + id + "\r\n", ""));
            continue;
        }
        say("runs " + id + " " + target + " tenant=" + request.field("Mustardpond-Tenant"));
        int status = 200;
        sleepMs(std::max(0, numberAfter(target, "run-")));
        if (target.find("/call-") != std::string::npos) {
            const std::string callId = id + ".1";
            say("calls " + callId);
            const int result = callThrough(callId);
            say("called " + callId + " status=" + std::to_string(result));
            status = result == 200 ? 200 : 500;
            sleepMs(std::max(0, numberAfter(target, "call-")));
        }
        say("ends " + id + " status=" + std::to_string(status));
        --g_running;
        sendAll(fd, answer(status, "Mustardpond-Request-Id: " + id + "\r\nMustardpond-Response-Seal: seal-" + g_id + "\r\n",
                           "{\"ranBy\":\"" + g_id + "\",\"service\":\"" + g_service + "\"}"));
    }
    close(fd);
}
static void beat()
{
    for (int sequence = 1;; ++sequence) {
        const int fd = connectTo(g_control, 1);
        if (fd >= 0) {
            const std::string body = "{\"service\":\"" + g_service + "\",\"address\":\"" + g_listen
                + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" + std::to_string(g_slots)
                + ",\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":" + std::to_string(sequence)
                + ",\"born\":" + std::to_string(g_born) + "}";
            Message reply;
            std::string buffer;
            if (sendAll(fd, "PUT /instances/" + g_id + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                readMessage(fd, buffer, reply);
            }
            close(fd);
        }
        sleepMs(1500);
    }
}
int main(int argc, char **argv)
{
    if (argc < 7) {
        return 2;
    }
    g_id = argv[1], g_service = argv[2], g_listen = argv[3], g_control = argv[4], g_outbound = argv[5];
    g_slots = std::atoi(argv[6]);
    if (argc > 8) {
        g_callHost = argv[7], g_callPath = argv[8];
    }
    std::signal(SIGPIPE, SIG_IGN);
    const int listener = listenAt(g_listen);
    std::thread(beat).detach();
    while (true) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd >= 0) {
            std::thread(serve, fd).detach();
        }
    }
}
