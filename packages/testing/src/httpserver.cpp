#include "testing/httpserver.h"

#include <sstream>

namespace mustardpond::testing {

namespace {

constexpr std::uint32_t MAX_HEAD_BYTES = 64 * KIB; ///< above the limit of routers

} // namespace

HttpServer::HttpServer(asio::io_context &context, const Endpoint &endpoint, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(std::make_shared<Listener>(
          context, endpoint, [this](tcp::socket socket, const Yield &yield) { serve(std::move(socket), yield); }))
{
}

void HttpServer::serve(tcp::socket socket, const Yield &yield)
{
    socket.set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    const std::string number = std::to_string(++m_connections);
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(UNLIMITED_BYTES);
        parser.header_limit(MAX_HEAD_BYTES);
        http::async_read_header(socket, buffer, parser, yield);
        http::async_read(socket, buffer, parser, yield);
        Request request = parser.release();
        request.set(CONNECTION_NUMBER_FIELD, number);
        Response response;
        try {
            response = m_handler(request, socket, yield);
        } catch (const NoAnswer &) {
            return;
        }
        response.version(request.version());
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        http::async_write(socket, response, yield);
        if (!response.keep_alive()) {
            return;
        }
    }
}

Response jsonResponse(http::status status, const std::string &body)
{
    Response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body;
    return response;
}

Target parseTarget(const std::string &text)
{
    Target target;
    const auto queryMark = text.find('?');
    target.path = text.substr(0, queryMark);
    if (queryMark == std::string::npos) {
        return target;
    }
    std::istringstream query(text.substr(queryMark + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
        const auto equals = pair.find('=');
        target.parameters[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return target;
}

void sleepFor(asio::io_context &context, Millis time, const Yield &yield)
{
    asio::steady_timer timer(context, toDuration(time));
    timer.async_wait(yield);
}

} // namespace mustardpond::testing
