#include "net/httpcall.h"

#include "foundation/bytes.h"
#include "net/net.h"

#include <gtest/gtest.h>

#include <thread>

namespace mustardpond {

namespace {

/// A server on loopback that answers one call with the given bytes and then a pattern until the caller closes.
class HttpCallTest : public ::testing::Test
{
protected:
    HttpCallTest()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
    }
    /// Returns the error of the call.
    ErrorCode callEndlessServer(const std::string &start, const std::string &pattern)
    {
        std::thread server([this, start, pattern] {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            std::string piece = start;
            ErrorCode error;
            while (!error) {
                m_bytesSent += asio::write(socket, asio::buffer(piece), error);
                piece.clear();
                while (piece.size() < 64 * KIB) {
                    piece += pattern;
                }
            }
        });
        ErrorCode failure;
        try {
            callHttp({{"127.0.0.1", m_acceptor.local_endpoint().port()}, "GET", "/objects", ""}, Millis(5000));
        } catch (const boost::system::system_error &error) {
            failure = error.code();
        }
        server.join();
        return failure;
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::size_t m_bytesSent = 0;
};

// A store whose answer did not end could take the daemon's memory within the time that a call may last.
TEST_F(HttpCallTest, EndlessBodyFails)
{
    EXPECT_EQ(callEndlessServer("HTTP/1.1 200 OK\r\n\r\n", "x"), http::error::body_limit);
    EXPECT_LT(m_bytesSent, 64 * MIB);
}

TEST_F(HttpCallTest, EndlessChunkExtensionFails)
{
    EXPECT_EQ(callEndlessServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x"),
              http::error::buffer_overflow);
    EXPECT_LT(m_bytesSent, 64 * MIB);
}

} // namespace

} // namespace mustardpond
