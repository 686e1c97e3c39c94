/// One connection between two daemons, used by one exchange at a time.
#pragma once

#include "net/net.h"
#include "wire/frame.h"

namespace mustardpond {

/// Sends and receives complete frames. Every method throws boost::system::system_error when the connection fails or
/// the time runs out, and BadFrame when the peer breaks the protocol; the channel is unusable then.
class FrameChannel
{
public:
    explicit FrameChannel(tcp::socket socket);

    /// @param bytes a packed frame
    void send(const std::string &bytes, Millis timeout, const Yield &yield);
    wire::FrameT receive(Millis timeout, const Yield &yield);

    /// Receives a frame, which must contain a message of the given type for the given request.
    template <typename Message>
    Message receiveFor(std::uint64_t request, Millis timeout, const Yield &yield);

    /// Sends a small request and receives the reply to it. The timeout applies to each of the two.
    template <typename Reply, typename Request>
    Reply ask(Request request, Millis timeout, const Yield &yield);

    tcp::socket &socket()
    {
        return m_stream.socket();
    }
    /// Bytes carried in both directions so far.
    std::uint64_t bytes() const
    {
        return m_bytes;
    }
    /// Whether a frame has been received before, so that the connection is not new.
    bool isReused() const
    {
        return m_reused;
    }
    void close();

private:
    beast::tcp_stream m_stream;
    std::string m_body;
    std::uint64_t m_bytes = 0;
    bool m_reused = false;
};

/// Throws BadFrame, as the receiver does not expect such a frame now.
[[noreturn]] void rejectFrame(const wire::FrameT &frame);

template <typename Message>
Message FrameChannel::receiveFor(std::uint64_t request, Millis timeout, const Yield &yield)
{
    wire::FrameT frame = receive(timeout, yield);
    if (frame.body.type != wire::BodyUnionTraits<Message>::enum_value) {
        rejectFrame(frame);
    }
    auto *message = static_cast<Message *>(frame.body.value);
    if (message->request != request) {
        rejectFrame(frame);
    }
    return std::move(*message);
}

template <typename Reply, typename Request>
Reply FrameChannel::ask(Request request, Millis timeout, const Yield &yield)
{
    const std::uint64_t requestNumber = request.request;
    send(packMessage(std::move(request)), timeout, yield);
    return receiveFor<Reply>(requestNumber, timeout, yield);
}

} // namespace mustardpond
