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
    /// Puts a connection into the pool and asks for it again after a while.
    bool isKept(Millis longestIdle, Millis wait)
    {
        bool kept = false;
        asio::spawn(m_context, [&](const Yield &yield) {
            GatePool pool(m_context, "", longestIdle);
            pool.release(m_address, pool.connect(m_address, Millis(1000), yield));
            asio::steady_timer timer(m_context, toDuration(wait));
            timer.async_wait(yield);
            kept = pool.acquireIdle(m_address) != nullptr;
        });
        m_context.run();
        return kept;
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::string m_address;
};

TEST_F(GatePoolTest, KeepsAConnectionForTheNextExchange)
{
    EXPECT_TRUE(isKept(Millis(10000), Millis(1)));
}

// The address may belong to another machine by now, and nothing tells: a configuration sent there was lost.
TEST_F(GatePoolTest, LeavesAConnectionThatHasBeenIdleTooLong)
{
    EXPECT_FALSE(isKept(Millis(20), Millis(60)));
}

} // namespace

} // namespace mustardpond
