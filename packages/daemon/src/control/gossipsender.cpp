#include "gossipsender.h"

#include "foundation/errors.h"

#include <netinet/tcp.h>

namespace mustardpond {

namespace {

constexpr Millis CONNECT_TIMEOUT{500};
constexpr Millis SEND_TIMEOUT{500};
constexpr std::size_t MAX_QUEUED_FRAMES = 64;
constexpr unsigned ACK_TIMEOUT_MS = 600; ///< for the peer's kernel to acknowledge sent data

/// Lets the kernel close a connection whose peer is gone. Lost messages need no resend, since gossip repeats them.
void setAckTimeout(tcp::socket &socket)
{
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ACK_TIMEOUT_MS, sizeof(ACK_TIMEOUT_MS));
}

} // namespace

void GossipSender::send(std::vector<OutgoingGossip> messages)
{
    for (OutgoingGossip &outgoing : messages) {
        Queue &queue = m_queues[outgoing.address];
        if (queue.frames.size() >= MAX_QUEUED_FRAMES) {
            queue.frames.pop_front();
        }
        queue.frames.push_back(packMessage(std::move(outgoing.message)));
        if (queue.sending) {
            continue;
        }
        queue.sending = true;
        asio::spawn(m_context, [self = shared_from_this(), address = outgoing.address](const Yield &yield) {
            self->drain(address, yield);
        });
    }
}

void GossipSender::drain(const std::string &address, const Yield &yield)
{
    try {
        auto channel = m_pool.acquire(address, CONNECT_TIMEOUT, yield);
        setAckTimeout(channel->socket());
        while (!m_queues[address].frames.empty()) {
            const std::string frame = std::move(m_queues[address].frames.front());
            m_queues[address].frames.pop_front();
            channel->send(frame, SEND_TIMEOUT, yield);
            m_bytesSent += frame.size();
        }
        m_pool.release(address, std::move(channel));
    } catch (const boost::system::system_error &) {
        m_queues[address].frames.clear();
    } catch (const Exception &) {
        m_queues[address].frames.clear();
    }
    m_queues[address].sending = false;
}

} // namespace mustardpond
