/// Reads a caller's body from its connection, piece by piece, within the byte budget.
#pragma once

#include "bodysource.h"
#include "decision/bodypace.h"
#include "foundation/clock.h"
#include "readbuffer.h"

namespace mustardpond {

struct CallerBodyLimits {
    Millis idleTimeout; ///< time without data from the caller after which reading fails
    std::size_t maxBufferBytes = 0; ///< for an incomplete chunk header or trailer
    double minBytesPerSecond = 0; ///< of a streamed body
    Millis stallTime; ///< over which a streamed body must keep to that
};

/// Every method throws boost::system::system_error: with http::error::buffer_overflow or http::error::body_limit for a
/// body beyond the limits, with beast::error::timeout for a caller that sends too little, with
/// asio::error::no_buffer_space if the byte budget has no room. After the first part has been read by readStart(),
/// next() reads the rest while the body is being sent on.
class CallerBody : public BodySource
{
public:
    using Parser = http::request_parser<http::buffer_body>;

    CallerBody(beast::tcp_stream &stream, ReadBuffer &buffer, Parser &parser, BodyHold &hold,
               const CallerBodyLimits &limits);

    /// Appends to the body until it is complete or has the given size.
    void readStart(std::vector<std::uint8_t> &body, std::size_t size, const Yield &yield);
    bool next(std::vector<std::uint8_t> &piece, const Yield &yield) override;
    void interrupt() override
    {
        m_stream.cancel();
    }
    /// Whether reading failed since a streamed body came too slowly.
    bool isStalled() const
    {
        return m_pace.isStalled();
    }

private:
    std::size_t read(std::uint8_t *data, std::size_t size, Millis timeout, const Yield &yield);
    /// Reads once. Returns beast::error::timeout if nothing came in time; the connection stays open then.
    ErrorCode readOnce(Millis timeout, const Yield &yield);
    void growBuffer(std::size_t bytes, const Yield &yield);
    std::size_t expectedBytes() const;

    beast::tcp_stream &m_stream;
    ReadBuffer &m_buffer;
    Parser &m_parser;
    BodyHold &m_hold;
    CallerBodyLimits m_limits;
    BodyPace m_pace;
    std::size_t m_pieceBytes; ///< read at a time; grows with the body, so that a caller who sends little costs little
    bool m_streaming = false;
};

} // namespace mustardpond
