#include "net/httpcall.h"

#include "foundation/bytes.h"
#include "net/bodybuffer.h"
#include "net/net.h"

#include <exception>

namespace mustardpond {

namespace {

constexpr std::uint64_t MAX_REPLY_BYTES = 32 * MIB;

HttpReply exchange(asio::io_context &context, const HttpCall &call, Millis timeout, const Yield &yield)
{
    beast::tcp_stream stream(context);
    stream.expires_after(toDuration(timeout));
    stream.async_connect(tcp::endpoint(asio::ip::make_address(call.endpoint.address), call.endpoint.port), yield);
    http::request<http::string_body> request(http::verb::get, call.target, 11);
    request.method_string(call.method);
    request.set(http::field::host, toString(call.endpoint));
    request.body() = call.body;
    request.prepare_payload();
    request.keep_alive(false);
    http::async_write(stream, request, yield);
    beast::flat_buffer buffer(MAX_READ_BUFFER_BYTES);
    http::response_parser<http::string_body> parser;
    parser.body_limit(MAX_REPLY_BYTES);
    http::async_read(stream, buffer, parser, yield);
    http::response<http::string_body> response = parser.release();
    return {response.result_int(), std::move(response.body()), std::move(response.base())};
}

} // namespace

HttpReply callHttp(const HttpCall &call, Millis timeout)
{
    asio::io_context context;
    HttpReply reply;
    std::exception_ptr failure;
    asio::spawn(context, [&](const Yield &yield) {
        try {
            reply = exchange(context, call, timeout, yield);
        } catch (const boost::system::system_error &) {
            failure = std::current_exception();
        }
    });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return reply;
}

} // namespace mustardpond
