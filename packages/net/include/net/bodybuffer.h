/// Sizing of the buffers that messages are read through.
#pragma once

#include "foundation/bytes.h"
#include "net/net.h"

namespace mustardpond {

constexpr std::size_t SMALL_BODY_BYTES = 4 * KIB;

/// Beast keeps what it cannot parse yet, such as an incomplete chunk header or trailer, in the buffer and limits only
/// head and body. Reading fails with http::error::buffer_overflow beyond this size.
constexpr std::size_t MAX_READ_BUFFER_BYTES = 128 * KIB;

/// Enlarges the buffer to `bytes` unless the rest of the body is small. Beast reads at most the buffer's capacity at a
/// time, which is 512 bytes initially.
template <typename Parser>
void reserveForBody(beast::flat_buffer &buffer, const Parser &parser, std::size_t bytes)
{
    if (parser.content_length_remaining().value_or(bytes) > SMALL_BODY_BYTES) {
        buffer.reserve(bytes);
    }
}

} // namespace mustardpond
