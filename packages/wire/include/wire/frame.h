/// Framing between the processes of a fleet: an eight-byte header, then one FlatBuffers message.
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

/// Length of the body that follows the header. Throws BadFrame for a foreign, oversized or other-version header.
std::uint32_t bodyLength(const FrameHeader &header);

/// Verifies and unpacks a body. Throws BadFrame.
wire::FrameT parseFrame(std::string_view body);

/// Header and body of a message, ready to be sent.
std::string packFrame(const wire::FrameT &frame);

template <typename Message>
std::string packMessage(Message message)
{
    wire::FrameT frame;
    frame.body.Set(std::move(message));
    return packFrame(frame);
}

} // namespace mustardpond
