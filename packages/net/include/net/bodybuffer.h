/// The buffer that a body is read through.
#pragma once

#include "foundation/bytes.h"
#include "net/net.h"

namespace mustardpond {

constexpr std::size_t SMALL_BODY_BYTES = 4 * KIB;

/// Enlarges the buffer unless what is left of the body is small: Beast reads no more at once than the buffer holds, and
/// that starts with 512 bytes.
template <typename Parser>
void reserveForBody(beast::flat_buffer &buffer, const Parser &parser, std::size_t bytes)
{
    if (parser.content_length_remaining().value_or(bytes) > SMALL_BODY_BYTES) {
        buffer.reserve(bytes);
    }
}

} // namespace mustardpond
