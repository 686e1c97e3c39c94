#include "resetwatch.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

constexpr auto PATIENCE = std::chrono::seconds(5);

class ResetWatchTest : public ::testing::Test
{
protected:
    ResetWatchTest()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_socket(m_context)
        , m_peer(m_context)
    {
        m_socket.connect(m_acceptor.local_endpoint());
        m_peer = m_acceptor.accept();
    }
    void sendAnswerStart()
    {
        asio::write(m_peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    tcp::socket m_peer;
};

// Guards against a caller that pauses in its upload being left without an answer after the upstream has answered early
// and reset the connection: neither a read nor a write shows the reset then.
TEST_F(ResetWatchTest, NoticesAResetBehindUnreadBytes)
{
    sendAnswerStart();
    bool noticed = false;
    const ResetWatch watch(m_socket, [&noticed] { noticed = true; });
    m_peer.set_option(asio::socket_base::linger(true, 0));
    m_peer.close();
    m_context.run_for(PATIENCE);
    EXPECT_TRUE(noticed);
}

// An upstream that answers early and closes in an orderly way may have sent its whole answer.
TEST_F(ResetWatchTest, IgnoresBytesAndAnOrderlyEnd)
{
    sendAnswerStart();
    m_peer.shutdown(tcp::socket::shutdown_send);
    bool noticed = false;
    {
        const ResetWatch watch(m_socket, [&noticed] { noticed = true; });
        m_context.run_for(std::chrono::milliseconds(200));
    }
    m_context.restart();
    m_context.run_for(PATIENCE);
    EXPECT_FALSE(noticed);
}

} // namespace

} // namespace mustardpond
