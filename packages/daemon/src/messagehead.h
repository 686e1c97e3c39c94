/// What the head of an HTTP/1.1 message means (RFC 9110 and 9112), the same for requests of callers and answers of
/// backend servers. Checks what the parser lets through.
#pragma once

#include "net/net.h"

#include <string>

namespace mustardpond {

/// Whether the message's body is framed in a way that the fields leave open, so that another reader could find another
/// end: a transfer coding other than "chunked" alone, or one in HTTP/1.0.
bool hasUnclearFraming(const http::fields &fields, unsigned version);

/// Returns why a request must not be forwarded, in words for its sender, or an empty string if it may.
/// @param version 10 or 11
std::string problemOfRequestHead(const http::fields &fields, unsigned version);

/// Whether the status belongs to one of the classes that HTTP defines.
bool isValidStatus(unsigned status);
/// Whether an answer with this status precedes the final one.
bool isInterim(unsigned status);

} // namespace mustardpond
