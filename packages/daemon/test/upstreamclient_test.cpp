#include "gate/upstreamclient.h"

#include "foundation/bytes.h"

#include <boost/asio/read_until.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace mustardpond {

namespace {

const std::string ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";

/// An upstream on loopback that accepts one connection.
class UpstreamClientTest : public ::testing::Test
{
protected:
    /// How an upstream ends its answer.
    enum class End { Keep, Close, Reset };

    UpstreamClientTest()
        : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_peer(m_context)
    {
    }
    std::unique_ptr<UpstreamExchange> open(const Yield &yield)
    {
        return m_client.open({"127.0.0.1", m_acceptor.local_endpoint().port()}, true, TIMEOUT, yield);
    }
    void sendGet(UpstreamExchange &exchange, const Yield &yield)
    {
        m_request = http::request<http::buffer_body>(http::verb::get, "/", 11);
        exchange.sendHead(m_request, TIMEOUT, yield);
        exchange.sendBody("", true, TIMEOUT, yield);
    }
    std::string receive(UpstreamExchange &exchange, const Yield &yield) const
    {
        exchange.receiveHead(TIMEOUT, yield);
        std::string body;
        while (exchange.receiveBody(body, 64 * KIB, TIMEOUT, yield)) {
        }
        return body;
    }
    void endPeer(End end)
    {
        if (end == End::Reset) {
            m_peer.set_option(asio::socket_base::linger(true, 0));
        }
        if (end != End::Keep) {
            m_peer.close();
        }
    }
    /// Starts the upstream, which sends the bytes at once and ends the connection.
    void startUpstream(const std::string &bytes, End end)
    {
        asio::spawn(m_context, [this, bytes, end](const Yield &yield) {
            m_acceptor.async_accept(m_peer, yield);
            if (end == End::Close) {
                std::string head; // closing with unread bytes would reset the connection
                asio::async_read_until(m_peer, asio::dynamic_buffer(head), "\r\n\r\n", yield);
            }
            asio::async_write(m_peer, asio::buffer(bytes), yield);
            endPeer(end);
        });
    }
    /// Starts an upstream that sends the bytes and then a pattern without end, until the caller closes.
    void startEndlessUpstream(const std::string &bytes, const std::string &pattern)
    {
        asio::spawn(m_context, [this, bytes, pattern](const Yield &yield) {
            m_acceptor.async_accept(m_peer, yield);
            asio::async_write(m_peer, asio::buffer(bytes), yield);
            std::string piece;
            while (piece.size() < 64 * KIB) {
                piece += pattern;
            }
            ErrorCode error;
            while (!error) {
                m_bytesSent += asio::async_write(m_peer, asio::buffer(piece), yield[error]);
            }
        });
    }
    /// Returns the error of reading the answer to a GET, and closes the connection.
    ErrorCode errorOfAnswer()
    {
        ErrorCode failure;
        asio::spawn(m_context, [this, &failure](const Yield &yield) {
            const auto exchange = open(yield);
            sendGet(*exchange, yield);
            try {
                receive(*exchange, yield);
            } catch (const boost::system::system_error &error) {
                failure = error.code();
            }
            exchange->close();
        });
        m_context.run();
        return failure;
    }
    /// Returns whether the connection may serve another exchange after the upstream has sent the bytes.
    bool isReusableAfter(const std::string &bytes)
    {
        startUpstream(bytes, End::Keep);
        bool reusable = false;
        asio::spawn(m_context, [this, &reusable](const Yield &yield) {
            const auto exchange = open(yield);
            sendGet(*exchange, yield);
            EXPECT_EQ(receive(*exchange, yield), "ok");
            reusable = exchange->isReusable();
        });
        m_context.run();
        return reusable;
    }
    /// Sends an upload that the upstream answers with the bytes before it resets the connection. Returns the answer's
    /// body, or nothing if it could not be read to its end.
    std::optional<std::string> answerToUploadBeforeReset(const std::string &bytes)
    {
        startUpstream(bytes, End::Reset);
        std::optional<std::string> answer;
        asio::spawn(m_context, [this, &answer](const Yield &yield) {
            const auto exchange = open(yield);
            m_request = http::request<http::buffer_body>(http::verb::post, "/", 11);
            m_request.content_length(UPLOAD_PIECES * UPLOAD_PIECE_BYTES);
            exchange->sendHead(m_request, TIMEOUT, yield);
            const std::string piece(UPLOAD_PIECE_BYTES, 'x');
            for (std::size_t number = 1; number <= UPLOAD_PIECES; ++number) {
                exchange->sendBody(piece, number == UPLOAD_PIECES, TIMEOUT, yield);
            }
            try {
                answer = receive(*exchange, yield);
            } catch (const boost::system::system_error &error) {
                EXPECT_NE(error.code(), beast::error::timeout);
            }
            EXPECT_FALSE(exchange->isReusable());
        });
        m_context.run();
        return answer;
    }

    const Millis TIMEOUT{2000};
    const std::size_t UPLOAD_PIECES = 16;
    const std::size_t UPLOAD_PIECE_BYTES = 1 * MIB; // more than the buffers of a loopback connection hold
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_peer;
    UpstreamClient m_client{m_context};
    http::request<http::buffer_body> m_request;
    std::size_t m_bytesSent = 0;
};

TEST_F(UpstreamClientTest, ConnectionIsReusableAfterACompleteAnswer)
{
    EXPECT_TRUE(isReusableAfter(ANSWER));
}

TEST_F(UpstreamClientTest, ConnectionIsNotReusableAfterASecondAnswerInTheSameSegment)
{
    EXPECT_FALSE(isReusableAfter(ANSWER + ANSWER));
}

// A caller got the first half of an answer without a length as a whole one, since its upstream reset the connection
// while the request's body was being sent.
TEST_F(UpstreamClientTest, AnswerWithoutLengthIsIncompleteAfterAResetDuringAnUpload)
{
    EXPECT_EQ(answerToUploadBeforeReset(HEAD_WITHOUT_LENGTH + "half"), std::nullopt);
}

// An upload's slot stayed taken until long after the deadline, as the pieces after a reset were written, too.
TEST_F(UpstreamClientTest, EarlyAnswerIsReadAfterAResetDuringAnUpload)
{
    EXPECT_EQ(answerToUploadBeforeReset(ANSWER), "ok");
}

TEST_F(UpstreamClientTest, AnswerWithoutLengthEndsWithItsConnection)
{
    startUpstream(HEAD_WITHOUT_LENGTH + "ok", End::Close);
    asio::spawn(m_context, [this](const Yield &yield) {
        const auto exchange = open(yield);
        sendGet(*exchange, yield);
        EXPECT_EQ(receive(*exchange, yield), "ok");
    });
    m_context.run();
}

// Callers of another system got a success with an empty body for an answer that broke off within its head.
TEST_F(UpstreamClientTest, AnswerThatEndsWithinItsHeadIsIncomplete)
{
    startUpstream("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", End::Close);
    EXPECT_EQ(errorOfAnswer(), http::error::partial_message);
}

// Bytes that never became a chunk were kept until the process exceeded its memory limit and was killed.
// An interim answer was passed on as the whole answer, and the final one was lost.
TEST_F(UpstreamClientTest, InterimAnswersBeforeTheFinalOneAreDropped)
{
    EXPECT_TRUE(isReusableAfter("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 102 Processing\r\n\r\n"
                                + ANSWER));
}

TEST_F(UpstreamClientTest, EndlessInterimAnswersFail)
{
    startEndlessUpstream("", "HTTP/1.1 103 Early Hints\r\n\r\n");
    EXPECT_EQ(errorOfAnswer(), http::error::bad_status);
}

TEST_F(UpstreamClientTest, UpgradeThatNobodyAskedForFails)
{
    startUpstream("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", End::Keep);
    EXPECT_EQ(errorOfAnswer(), http::error::bad_status);
}

// Status 000 was dropped like an interim answer, and the caller was held until its deadline.
TEST_F(UpstreamClientTest, StatusOfNoClassFailsAtOnce)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        startUpstream("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok", End::Keep);
        EXPECT_EQ(errorOfAnswer(), http::error::bad_status) << status;
        m_peer.close();
        m_context.restart();
    }
}

TEST_F(UpstreamClientTest, StatusOfOtherThanThreeDigitsFails)
{
    for (const std::string status : {"", "2", "20", "2000", "2x0", "-20"}) {
        startUpstream("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok", End::Keep);
        EXPECT_TRUE(errorOfAnswer()) << status;
        m_peer.close();
        m_context.restart();
    }
}

TEST_F(UpstreamClientTest, AnswerWithUnclearFramingFails)
{
    startUpstream("HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\nok", End::Close);
    EXPECT_EQ(errorOfAnswer(), http::error::bad_transfer_encoding);
}

TEST_F(UpstreamClientTest, EndlessChunkExtensionFails)
{
    startEndlessUpstream(CHUNKED_HEAD, "2;extension");
    EXPECT_EQ(errorOfAnswer(), http::error::buffer_overflow);
    EXPECT_LT(m_bytesSent, 16 * MIB) << "the connection's buffers hold a few MiB";
}

TEST_F(UpstreamClientTest, EndlessChunkSizeFails)
{
    startEndlessUpstream(CHUNKED_HEAD, "0");
    EXPECT_TRUE(errorOfAnswer());
    EXPECT_LT(m_bytesSent, 16 * MIB);
}

TEST_F(UpstreamClientTest, EndlessTrailerFails)
{
    startEndlessUpstream(CHUNKED_HEAD + "0\r\n", "Field: value\r\n");
    EXPECT_TRUE(errorOfAnswer());
    EXPECT_LT(m_bytesSent, 16 * MIB);
}

} // namespace

} // namespace mustardpond
