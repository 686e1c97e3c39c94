/// Ends a caller's connection so that the caller gets the last reply.
#pragma once

#include "net/net.h"

namespace mustardpond {

/// Reads and discards what the caller still sends, for a bounded time. Closing with unread bytes would reset the
/// connection and could destroy the last reply.
void drainCaller(beast::tcp_stream &stream, const Clock &clock, const Yield &yield);

} // namespace mustardpond
