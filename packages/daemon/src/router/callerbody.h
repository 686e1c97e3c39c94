/// Reads a caller's body from its connection, piece by piece.
#pragma once

#include "bodysource.h"
#include "foundation/clock.h"

namespace mustardpond {

class CallerBody : public BodySource
{
public:
    using Parser = http::request_parser<http::buffer_body>;

    /// @param idleTimeout time without data from the caller after which reading fails
    CallerBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, Millis idleTimeout)
        : m_stream(stream)
        , m_buffer(buffer)
        , m_parser(parser)
        , m_idleTimeout(idleTimeout)
    {
    }

    bool next(std::vector<std::uint8_t> &piece, const Yield &yield) override;

private:
    beast::tcp_stream &m_stream;
    beast::flat_buffer &m_buffer;
    Parser &m_parser;
    Millis m_idleTimeout;
};

} // namespace mustardpond
