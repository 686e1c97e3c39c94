#include "wire/frame.h"

#include "framecheck.h"

#include "foundation/errors.h"

#include <fmt/format.h>

namespace mustardpond {

namespace {

constexpr std::uint16_t FRAME_MAGIC = 0x4d50;
constexpr std::size_t MAGIC_OFFSET = 4;
constexpr std::size_t VERSION_OFFSET = 6;
constexpr int BITS_PER_BYTE = 8;
constexpr int MAX_DEPTH = 16;
constexpr int MAX_TABLES = 1000000;

template <typename Number>
Number readNumber(const FrameHeader &header, std::size_t offset)
{
    Number number = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        const auto byte = static_cast<unsigned char>(header.at(offset + index));
        number = static_cast<Number>(number | (static_cast<Number>(byte) << (BITS_PER_BYTE * index)));
    }
    return number;
}

template <typename Number>
void appendNumber(std::string &text, Number number)
{
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        text.push_back(static_cast<char>((number >> (BITS_PER_BYTE * index)) & 0xff));
    }
}

} // namespace

std::uint32_t bodyLength(const FrameHeader &header)
{
    const auto length = readNumber<std::uint32_t>(header, 0);
    const auto magic = readNumber<std::uint16_t>(header, MAGIC_OFFSET);
    const auto version = readNumber<std::uint16_t>(header, VERSION_OFFSET);
    if (magic != FRAME_MAGIC) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_MAGIC, magic));
    }
    if (version != FRAME_VERSION) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_VERSION, version, FRAME_VERSION));
    }
    if (length > MAX_FRAME_BYTES) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_TOO_LARGE, length, MAX_FRAME_BYTES));
    }
    return length;
}

wire::FrameT parseFrame(std::string_view body)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(body.data());
    flatbuffers::Verifier verifier(bytes, body.size(), MAX_DEPTH, MAX_TABLES);
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr)) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_MALFORMED, body.size()));
    }
    wire::FrameT frame;
    flatbuffers::GetRoot<wire::Frame>(bytes)->UnPackTo(&frame);
    if (frame.body.type == wire::Body::NONE || frame.body.value == nullptr) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_MALFORMED, body.size()));
    }
    checkFrame(frame);
    return frame;
}

std::string packFrame(const wire::FrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Frame::Pack(builder, &frame));
    std::string text;
    text.reserve(FRAME_HEADER_BYTES + builder.GetSize());
    appendNumber(text, static_cast<std::uint32_t>(builder.GetSize()));
    appendNumber(text, FRAME_MAGIC);
    appendNumber(text, FRAME_VERSION);
    text.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return text;
}

} // namespace mustardpond
