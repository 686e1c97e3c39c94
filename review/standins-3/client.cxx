// Stand-in for clients of one machine: sends requests at a steady rate, each with an id of its own and on one of a few
// kept connections, and writes one line for each: time of sending, id, status (0 for no answer), time of the answer.
// A new thread per request would hide nothing, so each connection is one thread; a request waits for a free one.
// Usage: client OUTBOUND METHOD PATH HOST PREFIX PER-SECOND SECONDS CONNECTIONS TIMEOUT-MS [KEY]
#include "http.hpp"
#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

static std::mutex g_log;
static std::atomic<long> g_next{0};

int main(int argc, char **argv)
{
    if (argc < 10) {
        return 2;
    }
    const std::string outbound = argv[1], method = argv[2], path = argv[3], host = argv[4], prefix = argv[5];
    const double perSecond = std::atof(argv[6]), seconds = std::atof(argv[7]);
    const int connections = std::atoi(argv[8]);
    const std::string timeout = argv[9];
    const std::string key = argc > 10 ? "Authorization: Bearer " + std::string(argv[10]) + "\r\n" : "";
    std::signal(SIGPIPE, SIG_IGN);
    const long total = static_cast<long>(perSecond * seconds);
    const auto startedAt = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int thread = 0; thread < connections; ++thread) {
        threads.emplace_back([&] {
            int fd = -1;
            std::string buffer;
            while (true) {
                const long number = g_next++;
                if (number >= total) {
                    break;
                }
                const auto due = startedAt + std::chrono::microseconds(static_cast<long long>(1e6 * number / perSecond));
                std::this_thread::sleep_until(due);
                if (std::chrono::steady_clock::now() > startedAt + std::chrono::duration<double>(seconds + 1)) {
                    break;
                }
                const std::string id = prefix + "-" + std::to_string(number);
                const long long sentAt = nowMs();
                if (fd < 0) {
                    buffer.clear();
                    fd = connectTo(outbound, std::atof(timeout.c_str()) / 1000 + 1);
                }
                Message reply;
                const std::string length = method == "GET" ? "" : "Content-Length: 2\r\n";
                const bool answered = fd >= 0
                    && sendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nMustardpond-Request-Id: " + id
                                       + "\r\nMustardpond-Timeout-Ms: " + timeout + "\r\n" + key + length + "\r\n"
                                       + (method == "GET" ? "" : "ok"))
                    && readMessage(fd, buffer, reply);
                {
                    const std::lock_guard<std::mutex> lock(g_log);
                    std::printf("%lld %s %d %lld\n", sentAt, id.c_str(), answered ? reply.status() : 0, nowMs());
                    std::fflush(stdout);
                }
                if (!answered || strcasecmp(reply.field("Connection").c_str(), "close") == 0) {
                    if (fd >= 0) {
                        close(fd);
                    }
                    fd = -1;
                }
            }
            if (fd >= 0) {
                close(fd);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}
