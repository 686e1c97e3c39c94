#include "wire/frame.h"

#include "foundation/errors.h"
#include "foundation/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace mustardpond {

namespace {

std::string sampleFrame()
{
    wire::ProxyRequestT request;
    request.request = 7;
    request.service = "sicil";
    request.body = {1, 2, 3};
    return packMessage(std::move(request));
}

FrameHeader headerOf(const std::string &bytes)
{
    FrameHeader header{};
    std::copy_n(bytes.begin(), header.size(), header.begin());
    return header;
}

TEST(FrameTest, MessageRoundTrips)
{
    const std::string bytes = sampleFrame();
    ASSERT_EQ(bodyLength(headerOf(bytes)), bytes.size() - FRAME_HEADER_BYTES);
    const wire::FrameT frame = parseFrame(std::string_view(bytes).substr(FRAME_HEADER_BYTES));
    ASSERT_EQ(frame.body.type, wire::Body::ProxyRequest);
    EXPECT_EQ(frame.body.AsProxyRequest()->service, "sicil");
}

TEST(FrameTest, HeadersWithWrongMagicVersionOrLengthAreRejected)
{
    FrameHeader header = headerOf(sampleFrame());
    header[4] = 'x';
    EXPECT_THROW(bodyLength(header), BadFrame);
    header = headerOf(sampleFrame());
    header[6] = 99;
    EXPECT_THROW(bodyLength(header), BadFrame);
    header = headerOf(sampleFrame());
    header[3] = 0x7f;
    EXPECT_THROW(bodyLength(header), BadFrame);
}

/// Whether the body is rejected or parses to the unchanged sample message. The latter happens when only padding is
/// missing.
bool isRejectedOrIntact(const std::string &body)
{
    try {
        const wire::FrameT frame = parseFrame(body);
        return packFrame(frame) == sampleFrame();
    } catch (const BadFrame &) {
        return true;
    }
}

TEST(FrameTest, TruncatedBodiesAreRejectedOrParseUnchanged)
{
    const std::string body = sampleFrame().substr(FRAME_HEADER_BYTES);
    EXPECT_THROW(parseFrame(""), BadFrame);
    for (std::size_t length = 0; length < body.size(); ++length) {
        EXPECT_TRUE(isRejectedOrIntact(body.substr(0, length))) << length;
    }
}

template <typename Message>
void expectRejected(Message message)
{
    const std::string bytes = packMessage(std::move(message));
    EXPECT_THROW(parseFrame(std::string_view(bytes).substr(FRAME_HEADER_BYTES)), BadFrame);
}

TEST(FrameTest, OutOfRangeFieldsAreRejected)
{
    wire::ProxyRequestT request;
    request.deadlineMs = std::numeric_limits<double>::quiet_NaN();
    expectRejected(wire::ProxyRequestT(request));
    request.deadlineMs = 1000;
    request.peerBadShare = 1.5;
    expectRejected(wire::ProxyRequestT(request));
    wire::AnswerT answer;
    answer.outcome = static_cast<wire::Outcome>(99);
    expectRejected(std::move(answer));
    wire::GossipT gossip;
    gossip.members.push_back(std::make_unique<wire::MemberRecordT>());
    gossip.members.front()->upstreams.push_back(std::make_unique<wire::UpstreamRecordT>());
    expectRejected(std::move(gossip));
}

TEST(FrameTest, CorruptedBodiesThrowBadFrameOrParse)
{
    constexpr int ROUNDS = 20000;
    SeededRandom random(1);
    const std::string body = sampleFrame().substr(FRAME_HEADER_BYTES);
    int rejected = 0;
    for (int round = 0; round < ROUNDS; ++round) {
        std::string bytes = body;
        for (int change = 0; change < 4; ++change) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        }
        try {
            parseFrame(bytes);
        } catch (const BadFrame &) {
            ++rejected;
        }
    }
    EXPECT_GT(rejected, 0);
}

} // namespace

} // namespace mustardpond
