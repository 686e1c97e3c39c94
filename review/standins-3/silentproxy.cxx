// TCP proxy that can make its open connections go silent: no byte passes any more in either direction, no connection
// is closed or reset, and connections that are opened later work.
// Usage: silentproxy LISTEN-IP:PORT TARGET-IP:PORT. SIGUSR1 makes all connections that are open go silent.
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

static std::atomic<int> g_era{0};

static sockaddr_in parse(const std::string &text)
{
    const auto colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.substr(colon + 1).c_str())));
    return address;
}

static bool writeAll(int fd, const char *data, ssize_t size)
{
    while (size > 0) {
        const ssize_t written = send(fd, data, static_cast<size_t>(size), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        data += written;
        size -= written;
    }
    return true;
}

static void serve(int client, sockaddr_in target)
{
    const int era = g_era;
    const int one = 1;
    const int server = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(server, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0) {
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        pollfd fds[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
        char buffer[65536];
        while (poll(fds, 2, 20) >= 0) {
            if (g_era != era) {
                // Silent for good: nothing is read, written or closed as long as the test runs.
                std::this_thread::sleep_for(std::chrono::seconds(300));
                break;
            }
            bool open = true;
            for (int side = 0; side < 2 && open; ++side) {
                if (fds[side].revents != 0) {
                    const ssize_t size = recv(fds[side].fd, buffer, sizeof(buffer), 0);
                    open = size > 0 && writeAll(fds[1 - side].fd, buffer, size);
                }
            }
            if (!open) {
                break;
            }
        }
    }
    close(server);
    close(client);
}

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    std::signal(SIGUSR1, [](int) { ++g_era; });
    const sockaddr_in address = parse(argv[1]);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(listener, 256) != 0) {
        std::perror("silentproxy");
        return 2;
    }
    while (true) {
        const int client = accept(listener, nullptr, nullptr);
        if (client >= 0) {
            std::thread(serve, client, parse(argv[2])).detach();
        }
    }
}
