#include "wire/compression.h"

#include "foundation/errors.h"

#include <fmt/format.h>
#include <zlib.h>

namespace mustardpond {

std::vector<std::uint8_t> compressBytes(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::vector<std::uint8_t> compressed(size);
    // With a buffer of compressBound() bytes and a valid level, compress2() fails only when out of memory.
    if (compress2(compressed.data(), &size, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED)
        != Z_OK) {
        throw std::bad_alloc();
    }
    compressed.resize(size);
    return compressed;
}

std::string decompressBytes(const std::vector<std::uint8_t> &compressed, std::size_t size)
{
    if (size > MAX_DECOMPRESSED_BYTES) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_FIELD, "size"));
    }
    std::string bytes(size, '\0');
    uLongf decompressedSize = size;
    const int result =
        uncompress(reinterpret_cast<Bytef *>(bytes.data()), &decompressedSize, compressed.data(), compressed.size());
    if (result != Z_OK || decompressedSize != size) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_FIELD, "packed"));
    }
    return bytes;
}

} // namespace mustardpond
