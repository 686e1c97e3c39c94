/// Reads the head of a caller's request.
#pragma once

#include "config/objects.h"
#include "readbuffer.h"

namespace mustardpond {

/// Fails with http::error::end_of_stream if the caller sends nothing more, and with asio::error::no_buffer_space if the
/// byte budget has no room for the head.
ErrorCode readCallerHead(beast::tcp_stream &stream, ReadBuffer &buffer, BodyHold &hold,
                         http::request_parser<http::buffer_body> &parser, const CallerLimits &limits,
                         const Yield &yield);

} // namespace mustardpond
