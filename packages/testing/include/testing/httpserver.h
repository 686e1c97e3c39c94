/// A small HTTP server for stand-ins: every request is answered by one function.
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

/// Ends the connection without an answer.
class NoAnswer : public std::exception
{
};

/// Field in which a handler finds the number of the connection, counted from 1.
constexpr const char CONNECTION_NUMBER_FIELD[] = "Stand-In-Connection";

class HttpServer
{
public:
    /// The handler may wait; it throws NoAnswer to close the connection.
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

/// The part of a target before "?", and the parameters after it.
struct Target {
    std::string path;
    std::map<std::string, std::string> parameters;
};
Target parseTarget(const std::string &text);

void sleepFor(asio::io_context &context, Millis time, const Yield &yield);

} // namespace mustardpond::testing
