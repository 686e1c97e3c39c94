#include "gatepool.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

class GatePoolTest : public ::testing::Test
{
protected:
    GatePoolTest()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()))
    {
    }
    /// Releases a connection to the pool and returns whether it can be acquired again after the given time.
    bool isReused(Millis maxIdle, Millis wait)
    {
        bool reused = false;
        asio::spawn(m_context, [&](const Yield &yield) {
            GatePool pool(m_context, "", maxIdle);
            pool.release(m_address, pool.connect(m_address, Millis(1000), yield));
            asio::steady_timer timer(m_context, toDuration(wait));
            timer.async_wait(yield);
            reused = pool.acquireIdle(m_address) != nullptr;
        });
        m_context.run();
        return reused;
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::string m_address;
};

TEST_F(GatePoolTest, ReusesIdleConnection)
{
    EXPECT_TRUE(isReused(Millis(10000), Millis(1)));
}

// The address may belong to another machine by then, without any sign on the connection. A configuration sent over
// such a connection was lost.
TEST_F(GatePoolTest, DoesNotReuseConnectionBeyondIdleLimit)
{
    EXPECT_FALSE(isReused(Millis(20), Millis(60)));
}

// With many gates, idle connections took the descriptors that callers and requests need.
TEST_F(GatePoolTest, BoundsTheIdleConnectionsToAllGates)
{
    asio::spawn(m_context, [&](const Yield &yield) {
        GatePool pool(m_context, "");
        pool.setMaxChannels(2);
        for (const char *gate : {"a", "b", "c", "c"}) {
            pool.release(gate, pool.connect(m_address, Millis(1000), yield));
        }
        EXPECT_EQ(pool.idleChannels(), 2U);
        pool.drop("a");
        EXPECT_EQ(pool.idleChannels(), 1U);
        EXPECT_TRUE(pool.acquireIdle("b"));
        EXPECT_EQ(pool.idleChannels(), 0U);
    });
    m_context.run();
}

} // namespace

} // namespace mustardpond
