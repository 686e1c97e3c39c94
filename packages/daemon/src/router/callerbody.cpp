#include "callerbody.h"

#include "foundation/bytes.h"
#include "silencewatch.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr std::size_t FIRST_PIECE_BYTES = ReadBuffer::FREE_BYTES;
constexpr std::size_t MAX_PIECE_BYTES = 64 * KIB;

[[noreturn]] void fail(ErrorCode error)
{
    throw boost::system::system_error(error);
}

} // namespace

CallerBody::CallerBody(beast::tcp_stream &stream, ReadBuffer &buffer, Parser &parser, BodyHold &hold,
                       const CallerBodyLimits &limits)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_parser(parser)
    , m_hold(hold)
    , m_limits(limits)
    , m_pace(limits.minBytesPerSecond, limits.stallTime)
    , m_pieceBytes(std::clamp(buffer.limit(), FIRST_PIECE_BYTES, MAX_PIECE_BYTES))
{
    m_parser.eager(true); // one call for all chunks in the buffer; chunks of one byte cost a read each otherwise
}

void CallerBody::readStart(std::vector<std::uint8_t> &body, std::size_t size, const Yield &yield)
{
    const std::size_t announced = expectedBytes();
    const std::size_t target = announced > 0 ? std::min(size, announced) : size;
    while (!m_parser.is_done() && body.size() < size) {
        const std::size_t before = body.size();
        const std::size_t end = std::min(before + m_pieceBytes, std::max(target, before + 1));
        if (end > body.capacity()) {
            const std::size_t capacity = std::max(end, std::min(2 * body.capacity(), target));
            if (!m_hold.take(capacity - body.capacity(), announced, yield)) {
                fail(asio::error::no_buffer_space);
            }
            body.reserve(capacity);
        }
        body.resize(end);
        body.resize(before + read(body.data() + before, end - before, m_limits.idleTimeout, yield));
    }
}

bool CallerBody::next(std::vector<std::uint8_t> &piece, const Yield &yield)
{
    if (!m_streaming) {
        // The start of the body has been sent on; the pieces need no more than the room that it took.
        m_streaming = true;
        m_hold.reduceTo(m_buffer.chargedBytes());
        m_hold.charge(MAX_PIECE_BYTES);
    }
    piece.resize(m_pieceBytes);
    const Millis timeout = std::min(m_limits.idleTimeout, m_pace.timeLeft());
    piece.resize(read(piece.data(), piece.size(), timeout, yield));
    return !m_parser.is_done();
}

std::size_t CallerBody::read(std::uint8_t *data, std::size_t size, Millis timeout, const Yield &yield)
{
    if (m_parser.is_done()) {
        return 0;
    }
    auto &body = m_parser.get().body();
    body.data = data;
    body.size = size;
    if (expectedBytes() == 0 || m_parser.content_length_remaining().value_or(0) > ReadBuffer::FREE_BYTES) {
        growBuffer(m_pieceBytes, yield);
    }
    const SteadyClock clock;
    while (body.size == size && !m_parser.is_done()) {
        const Millis startedAt = clock.now();
        const ErrorCode error = readOnce(timeout, yield);
        const std::size_t received = size - body.size;
        m_hold.onProgress(received);
        if (m_streaming) {
            m_pace.onWait(clock.now() - startedAt, received);
        }
        const bool idle = error == beast::error::timeout && (!m_streaming || timeout >= m_limits.idleTimeout);
        if (idle || m_pace.isStalled()) {
            fail(beast::error::timeout);
        }
        if (m_hold.isEvicted()) {
            fail(asio::error::operation_aborted);
        }
        if (error == http::error::buffer_overflow && m_buffer.limit() < m_limits.maxBufferBytes) {
            growBuffer(std::min(2 * m_buffer.limit(), m_limits.maxBufferBytes), yield);
        } else if (error && error != http::error::need_buffer && error != beast::error::timeout) {
            fail(error);
        }
        timeout = m_streaming ? std::min(m_limits.idleTimeout, m_pace.timeLeft()) : timeout;
    }
    const std::size_t received = size - body.size;
    if (2 * received >= size) {
        m_pieceBytes = std::min(2 * m_pieceBytes, MAX_PIECE_BYTES);
    }
    return received;
}

ErrorCode CallerBody::readOnce(Millis timeout, const Yield &yield)
{
    // A timeout of the stream would close it, and the caller could not be told.
    m_stream.expires_never();
    bool timedOut = false;
    ErrorCode error;
    {
        auto &context = static_cast<asio::io_context &>(m_stream.get_executor().context());
        const SilenceWatch watch(context, std::max(timeout, Millis(1)), [this, &timedOut] {
            timedOut = true;
            m_stream.cancel();
        });
        http::async_read_some(m_stream, m_buffer.data(), m_parser, yield[error]);
    }
    return timedOut && error == asio::error::operation_aborted ? ErrorCode(beast::error::timeout) : error;
}

void CallerBody::growBuffer(std::size_t bytes, const Yield &yield)
{
    if (!m_buffer.grow(bytes, expectedBytes(), yield)) {
        fail(asio::error::no_buffer_space);
    }
}

std::size_t CallerBody::expectedBytes() const
{
    return static_cast<std::size_t>(m_parser.content_length().value_or(0));
}

} // namespace mustardpond
