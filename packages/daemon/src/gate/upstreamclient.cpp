#include "upstreamclient.h"

#include "messagehead.h"

#include "net/bodybuffer.h"
#include "net/idlesocket.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t MAX_IDLE_CONNECTIONS = 64; ///< per upstream
constexpr int MAX_INTERIM_ANSWERS = 16; ///< before the final answer

} // namespace

UpstreamExchange::UpstreamExchange(std::unique_ptr<beast::tcp_stream> stream, bool reused)
    : m_stream(std::move(stream))
    , m_reused(reused)
    , m_buffer(MAX_READ_BUFFER_BYTES)
{
}

void UpstreamExchange::sendHead(http::request<http::buffer_body> &request, Millis timeout, const Yield &yield)
{
    m_request = &request;
    m_request->body().data = nullptr;
    m_request->body().size = 0;
    m_request->body().more = true;
    m_serializer.emplace(request);
    m_stream->expires_after(toDuration(timeout));
    http::async_write_header(*m_stream, *m_serializer, yield);
}

void UpstreamExchange::sendBody(const std::string &chunk, bool last, Millis timeout, const Yield &yield)
{
    if (m_connectionReset) {
        return; // a further write would never complete
    }
    m_request->body().data = const_cast<char *>(chunk.data());
    m_request->body().size = chunk.size();
    m_request->body().more = !last;
    m_stream->expires_after(toDuration(timeout));
    ErrorCode error;
    http::async_write(*m_stream, *m_serializer, yield[error]);
    if (error == asio::error::broken_pipe || error == asio::error::connection_reset) {
        m_connectionReset = true;
        return;
    }
    if (error && error != http::error::need_buffer) {
        throw boost::system::system_error(error);
    }
    m_bodySent = last;
}

void UpstreamExchange::receiveHead(Millis timeout, const Yield &yield)
{
    m_buffer.reserve(SMALL_BODY_BYTES);
    m_stream->expires_after(toDuration(timeout)); // for all interim answers and the head of the final one
    for (int answers = 0; answers <= MAX_INTERIM_ANSWERS; ++answers) {
        m_parser.emplace();
        m_parser->body_limit(UNLIMITED_BYTES);
        if (m_request->method() == http::verb::head) {
            m_parser->skip(true);
        }
        http::async_read_header(*m_stream, m_buffer, *m_parser, yield);
        const auto &head = m_parser->get();
        if (hasUnclearFraming(head, head.version())) {
            throw boost::system::system_error(http::error::bad_transfer_encoding);
        }
        // No request asks for 101. Taken for an interim answer, status 000 would hold the caller until its deadline.
        if (head.result() == http::status::switching_protocols || !isValidStatus(head.result_int())) {
            throw boost::system::system_error(http::error::bad_status);
        }
        if (!isInterim(head.result_int())) {
            return;
        }
    }
    throw boost::system::system_error(http::error::bad_status);
}

bool UpstreamExchange::receiveBody(std::string &body, std::size_t limit, Millis timeout, const Yield &yield)
{
    if (m_parser->is_done()) {
        return false;
    }
    reserveForBody(m_buffer, *m_parser, limit);
    const std::size_t before = body.size();
    body.resize(before + limit);
    m_parser->get().body().data = body.data() + before;
    m_parser->get().body().size = limit;
    m_stream->expires_after(toDuration(timeout));
    ErrorCode error;
    http::async_read_some(*m_stream, m_buffer, *m_parser, yield[error]);
    body.resize(before + limit - m_parser->get().body().size);
    if (error && error != http::error::need_buffer) {
        throw boost::system::system_error(error);
    }
    // The failed write has taken the error off the socket, so that the reset now reads as a regular end of file.
    if (m_connectionReset && m_parser->is_done() && m_parser->need_eof()) {
        throw boost::system::system_error(asio::error::connection_reset);
    }
    return !m_parser->is_done();
}

bool UpstreamExchange::isReusable() const
{
    // Bytes after the answer belong to no request. Once read, they no longer show on the socket.
    const bool hasBytesLeft = m_buffer.size() > 0;
    return m_parser && m_parser->is_done() && m_parser->get().keep_alive() && m_stream && m_bodySent && !hasBytesLeft
        && !m_connectionReset && !m_reusePrevented;
}

void UpstreamExchange::cancel()
{
    m_cancelled = true;
    close();
}

void UpstreamExchange::close()
{
    if (m_stream) {
        ErrorCode ignored;
        m_stream->socket().close(ignored);
    }
}

std::unique_ptr<UpstreamExchange> UpstreamClient::open(const Endpoint &address, bool forceNew, Millis timeout,
                                                       const Yield &yield)
{
    auto stream = forceNew ? nullptr : acquireIdle(toString(address));
    const bool reused = stream != nullptr;
    if (!stream) {
        stream = std::make_unique<beast::tcp_stream>(m_context);
        stream->expires_after(toDuration(timeout));
        stream->async_connect(tcp::endpoint(asio::ip::make_address(address.address), address.port), yield);
        stream->socket().set_option(tcp::no_delay(true));
    }
    return std::make_unique<UpstreamExchange>(std::move(stream), reused);
}

void UpstreamClient::release(const Endpoint &address, UpstreamExchange &exchange)
{
    if (!exchange.isReusable()) {
        return;
    }
    auto stream = exchange.releaseStream();
    stream->expires_never();
    auto &idle = m_idle[toString(address)];
    idle.push_back(std::move(stream));
    if (idle.size() > MAX_IDLE_CONNECTIONS) {
        idle.pop_front();
    }
}

std::unique_ptr<beast::tcp_stream> UpstreamClient::acquireIdle(const std::string &address)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (!isStale(stream->socket())) {
            return stream;
        }
    }
    return nullptr;
}

} // namespace mustardpond
