/// HTTP exchanges with the backend servers of this host.
#pragma once

#include "config/daemonsettings.h"
#include "net/net.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace mustardpond {

using UpstreamFields = http::fields;

/// One exchange on one connection. Methods throw boost::system::system_error when the connection fails or its time
/// runs out.
class UpstreamExchange
{
public:
    /// @param reused whether the connection has served an exchange before
    UpstreamExchange(std::unique_ptr<beast::tcp_stream> stream, bool reused);

    /// Sends the head of the request. From its first byte on, the upstream may run the request.
    void sendHead(http::request<http::buffer_body> &request, Millis timeout, const Yield &yield);
    /// Returns without an error if the upstream has reset the connection, since an answer that it sent before can still
    /// be read. Later calls then send nothing.
    void sendBody(const std::string &chunk, bool last, Millis timeout, const Yield &yield);
    /// Receives the head of the final answer. Interim answers (1xx) before it are dropped, as callers that need one
    /// have had it from their router; too many of them fail, as do 101 and a status outside 100 to 599.
    void receiveHead(Millis timeout, const Yield &yield);
    /// Appends up to limit bytes of the answer's body. Returns false when the body has ended. Fails if the end of the
    /// connection marks the end of the body and the connection was reset.
    bool receiveBody(std::string &body, std::size_t limit, Millis timeout, const Yield &yield);

    const http::response<http::buffer_body> &head() const
    {
        return m_parser->get();
    }
    /// Excludes the connection from further exchanges.
    void preventReuse()
    {
        m_reusePrevented = true;
    }
    /// Whether another exchange may follow on the connection.
    bool isReusable() const;
    /// Closes the connection, which tells the upstream to cancel. Pending and later calls fail.
    void cancel();
    bool isCancelled() const
    {
        return m_cancelled;
    }
    bool isReused() const
    {
        return m_reused;
    }
    /// Closes the connection; pending calls fail.
    void close();
    tcp::socket &socket()
    {
        return m_stream->socket();
    }
    /// Records that the upstream has reset the connection. Nothing more is sent; what came before can still be read.
    void onReset()
    {
        m_connectionReset = true;
    }
    std::unique_ptr<beast::tcp_stream> releaseStream()
    {
        return std::move(m_stream);
    }

private:
    std::unique_ptr<beast::tcp_stream> m_stream;
    bool m_reused;
    bool m_cancelled = false;
    bool m_connectionReset = false; ///< found while the request was being sent
    bool m_reusePrevented = false;
    bool m_bodySent = false;
    beast::flat_buffer m_buffer;
    http::request<http::buffer_body> *m_request = nullptr;
    std::optional<http::request_serializer<http::buffer_body>> m_serializer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
};

/// Opens connections to upstreams and keeps idle ones for reuse.
class UpstreamClient
{
public:
    explicit UpstreamClient(asio::io_context &context)
        : m_context(context)
    {
    }

    /// @param forceNew whether to open a new connection in any case, so that a failure is never that of a stale one
    std::unique_ptr<UpstreamExchange> open(const Endpoint &address, bool forceNew, Millis timeout, const Yield &yield);
    void release(const Endpoint &address, UpstreamExchange &exchange);
    /// Closes the idle connections to an address.
    void closeIdle(const Endpoint &address)
    {
        m_idle.erase(toString(address));
    }

private:
    std::unique_ptr<beast::tcp_stream> acquireIdle(const std::string &address);

    asio::io_context &m_context;
    std::unordered_map<std::string, std::deque<std::unique_ptr<beast::tcp_stream>>> m_idle;
};

} // namespace mustardpond
