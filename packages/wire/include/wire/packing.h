/// Compression of large values in frames.
#pragma once

#include "foundation/bytes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardpond {

constexpr std::size_t MAX_UNPACKED_BYTES = 16 * MIB; ///< of one value; a larger one is refused before it is unpacked

std::vector<std::uint8_t> packBytes(std::string_view bytes);

/// @param size of the unpacked bytes, as the sender tells it
/// Throws BadFrame for bytes that do not unpack to that size, and for a size over MAX_UNPACKED_BYTES.
std::string unpackBytes(const std::vector<std::uint8_t> &packed, std::size_t size);

} // namespace mustardpond
