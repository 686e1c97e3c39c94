// One HTTP request. Usage: fetch METHOD ADDRESS PATH TIMEOUT-S BODY [FIELD...], each FIELD as "Name: value".
// Prints the answer's body and, on a line of its own, status=CODE (0 without an answer). Exit code 0 for a 2xx.
#include "http.hpp"
#include <csignal>

int main(int argc, char **argv)
{
    if (argc < 6) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string method = argv[1], address = argv[2], path = argv[3], body = argv[5];
    std::string head = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n";
    bool hasHost = false;
    for (int index = 6; index < argc; ++index) {
        head += std::string(argv[index]) + "\r\n";
        hasHost = hasHost || strncasecmp(argv[index], "Host:", 5) == 0;
    }
    head += hasHost ? "" : "Host: " + address + "\r\n";
    if (method != "GET") {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    const int fd = connectTo(address, std::atof(argv[4]));
    Message reply;
    std::string buffer;
    const bool answered = fd >= 0 && sendAll(fd, head + "\r\n" + body) && readMessage(fd, buffer, reply);
    const int status = answered ? reply.status() : 0;
    std::printf("%s\nstatus=%d\n", reply.body.c_str(), status);
    return status >= 200 && status < 300 ? 0 : 1;
}
