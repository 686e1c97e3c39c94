// A few lines of HTTP/1.1 over blocking sockets, for the stand-ins of this folder.
#pragma once
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

inline long long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline sockaddr_in parseAddress(const std::string &text)
{
    const auto colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.substr(colon + 1).c_str())));
    return address;
}
inline int listenAt(const std::string &text)
{
    const sockaddr_in address = parseAddress(text);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0) {
        std::perror(text.c_str());
        std::exit(2);
    }
    return fd;
}
inline int connectTo(const std::string &text, double timeoutS)
{
    const sockaddr_in address = parseAddress(text);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    timeval timeout{static_cast<time_t>(timeoutS), static_cast<suseconds_t>((timeoutS - static_cast<long>(timeoutS)) * 1e6)};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}
inline bool sendAll(int fd, const std::string &text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const ssize_t size = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}
struct Message {
    std::string head; ///< with the empty line at its end
    std::string body;
    std::string field(const std::string &name) const
    {
        for (std::size_t at = head.find("\r\n"); at != std::string::npos && at + 2 < head.size();
             at = head.find("\r\n", at + 2)) {
            const std::size_t start = at + 2;
            if (strncasecmp(head.c_str() + start, name.c_str(), name.size()) == 0 && head[start + name.size()] == ':') {
                std::size_t from = start + name.size() + 1;
                while (head[from] == ' ') {
                    ++from;
                }
                return head.substr(from, head.find("\r\n", from) - from);
            }
        }
        return {};
    }
    std::string target() const
    {
        const auto start = head.find(' ') + 1;
        return head.substr(start, head.find(' ', start) - start);
    }
    int status() const
    {
        return std::atoi(head.c_str() + head.find(' ') + 1);
    }
};
/// Reads a message with a Content-Length or without a body. The buffer keeps what follows it.
inline bool readMessage(int fd, std::string &buffer, Message &message)
{
    char piece[65536];
    const auto more = [&] {
        const ssize_t size = recv(fd, piece, sizeof(piece), 0);
        if (size > 0) {
            buffer.append(piece, static_cast<std::size_t>(size));
        }
        return size > 0;
    };
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    message.head = buffer.substr(0, end + 4);
    buffer.erase(0, end + 4);
    const std::size_t length = static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
    while (buffer.size() < length) {
        if (!more()) {
            return false;
        }
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}
