/// Framing between the processes of a fleet: an eight-byte header followed by one FlatBuffers message.
#pragma once

#include "foundation/bytes.h"
#include "wire/generated/frames_generated.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace mustardpond {

constexpr std::size_t FRAME_HEADER_BYTES = 8;
constexpr std::uint32_t MAX_FRAME_BYTES = 4 * MIB;
constexpr std::uint16_t FRAME_VERSION = 1;

using FrameHeader = std::array<char, FRAME_HEADER_BYTES>;

/// Returns the length of the body that follows the header. Throws BadFrame for a wrong magic number or version, and for
/// a body over MAX_FRAME_BYTES.
std::uint32_t bodyLength(const FrameHeader &header);

/// Verifies and deserialises a body. Throws BadFrame for an invalid one.
wire::FrameT parseFrame(std::string_view body);

/// Returns the serialised header and body of a frame.
std::string packFrame(const wire::FrameT &frame);

template <typename Message>
std::string packMessage(Message message)
{
    wire::FrameT frame;
    frame.body.Set(std::move(message));
    return packFrame(frame);
}

} // namespace mustardpond
