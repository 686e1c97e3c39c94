#include "slotreservation.h"

#include "config/daemonsettings.h"
#include "foundation/clock.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr const char UPSTREAM[] = "u";

DaemonSettings gateSettings()
{
    DaemonSettings settings;
    settings.detection = Detection::Gates;
    return settings;
}

/// A gate whose upstream has one slot, and routers that request it over loopback connections.
class SlotReservationTest : public ::testing::Test
{
protected:
    SlotReservationTest()
        : m_gate(m_context, m_clock, Incarnation{1, 1}, gateSettings(), nullptr)
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        Announcement announcement;
        announcement.id = UPSTREAM;
        announcement.service = "s";
        announcement.state = UpstreamState::Ready;
        announcement.slots = 1;
        m_gate.registry.announce(announcement, m_clock.now());
    }

    /// Requests a slot, holds it for a moment and records its organisation. Earlier calls are granted first if nothing
    /// but the deadline counts.
    void reserve(const std::string &organisation)
    {
        auto reserve = std::make_shared<wire::ReserveT>();
        reserve->request = ++m_requests;
        reserve->service = "s";
        reserve->upstream = UPSTREAM;
        reserve->workClass = "c";
        reserve->rank = INNER_CALL_RANK + 1;
        reserve->deadlineMs = 5000 + 10 * static_cast<double>(m_requests);
        reserve->mayWait = true;
        reserve->mayTry = true;
        reserve->organisation = organisation;
        reserve->weight = 1;
        m_routers.emplace_back(m_context).connect(m_acceptor.local_endpoint());
        auto socket = std::make_shared<tcp::socket>(m_acceptor.accept());
        asio::spawn(m_context, [this, reserve, socket](const Yield &yield) {
            FrameChannel channel(std::move(*socket));
            SlotReservation reservation(m_gate, *reserve, channel);
            const auto slot = reservation.acquire(yield);
            m_granted.push_back(slot ? reserve->organisation : "denied");
            asio::steady_timer timer(m_context, std::chrono::milliseconds(20));
            timer.async_wait(yield);
        });
    }

    asio::io_context m_context;
    SteadyClock m_clock;
    GateContext m_gate;
    tcp::acceptor m_acceptor;
    std::deque<tcp::socket> m_routers;
    std::uint64_t m_requests = 0;
    std::vector<std::string> m_granted;
};

/// Guards against an organisation that is lost between the reservation and the queue: all would be one flow, in which
/// the last two requests are served last.
TEST_F(SlotReservationTest, OrganisationsShareTheSlots)
{
    for (int request = 0; request < 5; ++request) {
        reserve("hot");
    }
    reserve("other");
    reserve("other");
    m_context.run();
    // Four may wait, so the last two of the hot organisation make room.
    const std::vector<std::string> expected = {"hot", "denied", "denied", "other", "hot", "other", "hot"};
    EXPECT_EQ(m_granted, expected);
}

} // namespace

} // namespace mustardpond
