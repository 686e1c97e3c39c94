#include "callerhead.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t FIRST_READ_BYTES = 1 * KIB;

class HeadReader
{
public:
    HeadReader(beast::tcp_stream &stream, ReadBuffer &buffer, BodyHold &hold, const CallerLimits &limits)
        : m_stream(stream)
        , m_buffer(buffer)
        , m_hold(hold)
        , m_limits(limits)
    {
    }

    ErrorCode read(http::request_parser<http::buffer_body> &parser, const Yield &yield)
    {
        parser.header_limit(static_cast<std::uint32_t>(m_limits.headBytes));
        parser.body_limit(m_limits.bodyBytes);
        parser.eager(false);
        ErrorCode error;
        if (m_buffer.size() == 0) {
            m_stream.expires_after(toDuration(m_limits.idleTimeout));
            error = receive(yield);
        }
        m_stream.expires_after(toDuration(m_limits.headTimeout)); // for the whole head
        while (!error && !parser.is_header_done()) {
            m_buffer.data().consume(parser.put(m_buffer.data().data(), error));
            if (error == http::error::need_more) {
                error = receive(yield);
            }
        }
        return error;
    }

private:
    ErrorCode receive(const Yield &yield)
    {
        if (!m_buffer.hasRoom() && !m_buffer.grow(m_buffer.limit() * 2, 0, yield)) {
            return asio::error::no_buffer_space;
        }
        const std::size_t size =
            std::min(m_buffer.limit() - m_buffer.size(), std::max(FIRST_READ_BYTES, m_buffer.size()));
        ErrorCode error;
        const std::size_t received = m_stream.async_read_some(m_buffer.data().prepare(size), yield[error]);
        m_buffer.data().commit(received);
        m_hold.onProgress(received);
        if (m_hold.isEvicted()) {
            return asio::error::operation_aborted;
        }
        if (error == asio::error::eof) {
            return m_buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
        }
        return error;
    }

    beast::tcp_stream &m_stream;
    ReadBuffer &m_buffer;
    BodyHold &m_hold;
    const CallerLimits &m_limits;
};

} // namespace

ErrorCode readCallerHead(beast::tcp_stream &stream, ReadBuffer &buffer, BodyHold &hold,
                         http::request_parser<http::buffer_body> &parser, const CallerLimits &limits,
                         const Yield &yield)
{
    hold.setEvictable(true);
    const ErrorCode error = HeadReader(stream, buffer, hold, limits).read(parser, yield);
    hold.setEvictable(false);
    return error;
}

} // namespace mustardpond
