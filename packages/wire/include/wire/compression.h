/// Compression of large values in frames.
#pragma once

#include "foundation/bytes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardpond {

constexpr std::size_t MAX_DECOMPRESSED_BYTES = 16 * MIB; ///< per value; larger ones are rejected before decompression

std::vector<std::uint8_t> compressBytes(std::string_view bytes);

/// Throws BadFrame for bytes that do not decompress to the given size, and for a size over MAX_DECOMPRESSED_BYTES.
/// @param size number of decompressed bytes, as given by the sender
std::string decompressBytes(const std::vector<std::uint8_t> &compressed, std::size_t size);

} // namespace mustardpond
