#include "gaterun.h"

#include "owndialect.h"

#include <boost/asio/read_until.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace mustardpond {

namespace {

constexpr const char UPSTREAM[] = "u";
constexpr auto PATIENCE = std::chrono::seconds(10); ///< below the 30 s after which a pausing router is given up

DaemonSettings gateSettings()
{
    DaemonSettings settings;
    settings.detection = Detection::Gates;
    return settings;
}

tcp::endpoint anyPort()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

/// A gate with one upstream, whose bytes the test sends itself, and the connection of a router.
class GateRunTest : public ::testing::Test
{
protected:
    GateRunTest()
        : m_gate(m_context, m_clock, Incarnation{1, 1}, gateSettings(), std::make_shared<OwnUpstreamDialect>())
        , m_routers(m_context, anyPort())
        , m_upstreams(m_context, anyPort())
        , m_router(m_context)
        , m_upstream(m_context)
    {
        Announcement announcement;
        announcement.id = UPSTREAM;
        announcement.service = "s";
        announcement.address = {"127.0.0.1", m_upstreams.local_endpoint().port()};
        announcement.state = UpstreamState::Ready;
        announcement.slots = 1;
        m_gate.registry.announce(announcement, m_clock.now());
        m_router.connect(m_routers.local_endpoint());
    }
    void startGate()
    {
        asio::spawn(m_context, [this](const Yield &yield) {
            tcp::socket socket(m_context);
            m_routers.async_accept(socket, yield);
            FrameChannel channel(std::move(socket));
            wire::ProxyRequestT request;
            request.request = 1;
            request.service = "s";
            request.upstream = UPSTREAM;
            request.workClass = "c";
            request.kind = wire::WorkKind::Irreversible;
            request.method = "POST";
            request.target = "/";
            request.deadlineMs = 60000;
            request.streamed = true;
            request.bodyBytes = 1000;
            GateRun run(m_gate, std::move(request), channel);
            run.run(yield);
        });
    }
    /// Starts an upstream that answers early and resets the connection a moment later.
    void startUpstream(const std::string &answer)
    {
        asio::spawn(m_context, [this, answer](const Yield &yield) {
            m_upstreams.async_accept(m_upstream, yield);
            std::string head;
            asio::async_read_until(m_upstream, asio::dynamic_buffer(head), "\r\n\r\n", yield);
            asio::async_write(m_upstream, asio::buffer(answer), yield);
            asio::steady_timer timer(m_context, std::chrono::milliseconds(200));
            timer.async_wait(yield);
            m_upstream.set_option(asio::socket_base::linger(true, 0));
            m_upstream.close();
        });
    }
    /// Sends the start of the body and pauses. Returns what the gate answers meanwhile.
    std::optional<wire::Outcome> answerWhileRouterPauses()
    {
        std::optional<wire::Outcome> outcome;
        asio::spawn(m_context, [this, &outcome](const Yield &yield) {
            FrameChannel channel(std::move(m_router));
            channel.receiveFor<wire::ProceedT>(1, Millis(60000), yield);
            wire::BodyChunkT chunk;
            chunk.request = 1;
            chunk.body.assign(100, 'x');
            channel.send(packMessage(std::move(chunk)), Millis(60000), yield);
            outcome = channel.receiveFor<wire::AnswerT>(1, Millis(60000), yield).outcome;
            m_context.stop();
        });
        m_context.run_for(PATIENCE);
        return outcome;
    }

    asio::io_context m_context;
    SteadyClock m_clock;
    GateContext m_gate;
    tcp::acceptor m_routers;
    tcp::acceptor m_upstreams;
    tcp::socket m_router;
    tcp::socket m_upstream;
};

// A caller that paused in its upload got no answer until its timeout when the upstream had answered early, without a
// length, and reset the connection. The part of the answer must not look complete either.
TEST_F(GateRunTest, EarlyAnswerThatIsResetIsReportedWhileTheRouterPauses)
{
    startUpstream("HTTP/1.1 200 OK\r\n\r\npart");
    startGate();
    EXPECT_EQ(answerWhileRouterPauses(), wire::Outcome::Unknown);
}

} // namespace

} // namespace mustardpond
