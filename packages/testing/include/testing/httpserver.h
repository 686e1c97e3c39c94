/// Small HTTP server for the stand-ins, with one handler function for all requests.
#pragma once

#include "net/listener.h"
#include "net/net.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mustardpond::testing {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Thrown by a handler to close the connection without an answer.
class NoAnswer : public std::exception
{
};

/// Request field that the server sets to the number of the connection, counted from 1.
constexpr const char CONNECTION_NUMBER_FIELD[] = "Stand-In-Connection";

class HttpServer
{
public:
    /// May suspend its coroutine; throws NoAnswer to close the connection.
    using Handler = std::function<Response(const Request &, tcp::socket &, const Yield &)>;

    HttpServer(asio::io_context &context, const Endpoint &endpoint, Handler handler);
    void start()
    {
        m_listener->start();
    }

private:
    void serve(tcp::socket socket, const Yield &yield);

    Handler m_handler;
    std::uint64_t m_connections = 0;
    std::shared_ptr<Listener> m_listener;
};

Response jsonResponse(http::status status, const std::string &body);

/// A request target, split into its path and its query parameters.
struct Target {
    std::string path;
    std::map<std::string, std::string> parameters;
};
Target parseTarget(const std::string &text);

void sleepFor(asio::io_context &context, Millis time, const Yield &yield);

} // namespace mustardpond::testing
