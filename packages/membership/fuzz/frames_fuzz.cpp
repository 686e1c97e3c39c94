/// Fuzz target for frames from a peer: malformed bytes may only raise BadFrame, which closes the connection. A valid
/// frame must be valid again after a round trip, and its gossip must leave the membership usable.

#include "foundation/errors.h"
#include "foundation/random.h"
#include "membership/membership.h"
#include "wire/frame.h"

#include <cstdlib>

namespace {

using namespace mustardpond;

Member newSelf()
{
    Member self;
    self.node = "self";
    self.incarnation = {1, 2};
    self.dataCentre = "a";
    self.inner = "127.0.0.1:7000";
    return self;
}

void receive(const wire::GossipT &message)
{
    constexpr Millis STEP{200};
    constexpr int STEPS = 10;
    SeededRandom random(1);
    Membership membership(newSelf(), {}, random);
    try {
        membership.receive(message, Millis(1000));
    } catch (const BadFrame &) {
        // A compressed value is invalid. The member actor logs this and continues.
    }
    Millis now(1000);
    for (int step = 0; step < STEPS; ++step) {
        now = now + STEP;
        for (const OutgoingGossip &outgoing : membership.tick(now)) {
            packMessage(outgoing.message);
        }
    }
    if (membership.self().state != MemberState::Alive || membership.members().empty()) {
        std::abort();
    }
}

void readHeader(std::string_view bytes)
{
    FrameHeader header{};
    bytes.copy(header.data(), header.size());
    try {
        bodyLength(header);
    } catch (const BadFrame &) {
        // Most fuzzed headers are invalid.
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    readHeader(bytes);
    // FlatBuffers needs an aligned address; a channel also parses bodies from a buffer of their own.
    const std::string body(bytes);
    wire::FrameT frame;
    try {
        frame = parseFrame(body);
    } catch (const BadFrame &) {
        return 0;
    }
    parseFrame(std::string_view(packFrame(frame)).substr(FRAME_HEADER_BYTES));
    if (const auto *gossip = frame.body.AsGossip()) {
        receive(*gossip);
    }
    return 0;
}
