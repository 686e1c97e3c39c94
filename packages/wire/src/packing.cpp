#include "wire/packing.h"

#include "foundation/errors.h"

#include <fmt/format.h>
#include <zlib.h>

namespace mustardpond {

std::vector<std::uint8_t> packBytes(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::vector<std::uint8_t> packed(size);
    // With room for the bound and a valid level, it cannot fail but for want of memory.
    if (compress2(packed.data(), &size, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED)
        != Z_OK) {
        throw std::bad_alloc();
    }
    packed.resize(size);
    return packed;
}

std::string unpackBytes(const std::vector<std::uint8_t> &packed, std::size_t size)
{
    if (size > MAX_UNPACKED_BYTES) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_FIELD, "size"));
    }
    std::string bytes(size, '\0');
    uLongf unpacked = size;
    const int result = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &unpacked, packed.data(), packed.size());
    if (result != Z_OK || unpacked != size) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_FIELD, "packed"));
    }
    return bytes;
}

} // namespace mustardpond
