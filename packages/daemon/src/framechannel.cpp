#include "framechannel.h"

#include "foundation/bytes.h"
#include "foundation/errors.h"

#include <fmt/format.h>

namespace mustardpond {

namespace {

constexpr std::size_t RETAINED_BYTES = 16 * KIB;

} // namespace

FrameChannel::FrameChannel(tcp::socket socket)
    : m_stream(std::move(socket))
{
    ErrorCode ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
}

void FrameChannel::send(const std::string &bytes, Millis timeout, const Yield &yield)
{
    m_stream.expires_after(toDuration(timeout));
    asio::async_write(m_stream, asio::buffer(bytes), yield);
    m_bytes += bytes.size();
    m_stream.expires_never();
}

wire::FrameT FrameChannel::receive(Millis timeout, const Yield &yield)
{
    FrameHeader header{};
    m_stream.expires_after(toDuration(timeout));
    asio::async_read(m_stream, asio::buffer(header), yield);
    m_body.resize(bodyLength(header));
    asio::async_read(m_stream, asio::buffer(m_body), yield);
    m_bytes += header.size() + m_body.size();
    m_stream.expires_never();
    m_reused = true;
    wire::FrameT frame = parseFrame(m_body);
    if (m_body.capacity() > RETAINED_BYTES) {
        m_body = {}; // most channels are idle, and some have carried a large frame
    }
    return frame;
}

void FrameChannel::close()
{
    ErrorCode ignored;
    m_stream.socket().close(ignored);
}

void rejectFrame(const wire::FrameT &frame)
{
    throw BadFrame(fmt::format(ErrorMsg::FRAME_UNEXPECTED, wire::EnumNameBody(frame.body.type)));
}

} // namespace mustardpond
