#include "gate/upstreamclient.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

const std::string ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// An upstream on loopback that answers one request with the given bytes and keeps the connection open.
class UpstreamClientTest : public ::testing::Test
{
protected:
    UpstreamClientTest()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_peer(m_context)
    {
    }
    /// Returns whether the connection may serve another exchange after the upstream has sent the bytes.
    bool isReusableAfter(const std::string &bytes)
    {
        asio::spawn(m_context, [this, bytes](const Yield &yield) {
            m_acceptor.async_accept(m_peer, yield);
            asio::async_write(m_peer, asio::buffer(bytes), yield);
        });
        bool reusable = false;
        asio::spawn(m_context, [this, &reusable](const Yield &yield) {
            UpstreamClient client(m_context);
            const Endpoint address{"127.0.0.1", m_acceptor.local_endpoint().port()};
            const auto exchange = client.open(address, true, TIMEOUT, yield);
            http::request<http::buffer_body> request(http::verb::get, "/", 11);
            exchange->sendHead(request, TIMEOUT, yield);
            exchange->sendBody("", true, TIMEOUT, yield);
            exchange->receiveHead(TIMEOUT, yield);
            std::string body;
            while (exchange->receiveBody(body, 64, TIMEOUT, yield)) {
            }
            EXPECT_EQ(body, "ok");
            reusable = exchange->isReusable();
        });
        m_context.run();
        return reusable;
    }

    const Millis TIMEOUT{2000};
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_peer;
};

TEST_F(UpstreamClientTest, ConnectionIsReusableAfterACompleteAnswer)
{
    EXPECT_TRUE(isReusableAfter(ANSWER));
}

TEST_F(UpstreamClientTest, ConnectionIsNotReusableAfterASecondAnswerInTheSameSegment)
{
    EXPECT_FALSE(isReusableAfter(ANSWER + ANSWER));
}

} // namespace

} // namespace mustardpond
