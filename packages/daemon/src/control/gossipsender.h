/// Sends gossip to other daemons. Lost messages are not resent.
#pragma once

#include "gatepool.h"
#include "membership/membership.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace mustardpond {

/// Peers send nothing back on these connections, so idle time is the only sign that one may be broken.
constexpr Millis GOSSIP_MAX_IDLE{1000};

/// Used on the request path's thread. Messages to one address keep their order.
class GossipSender : public std::enable_shared_from_this<GossipSender>
{
public:
    GossipSender(asio::io_context &context, std::string bindAddress)
        : m_context(context)
        , m_pool(context, std::move(bindAddress), GOSSIP_MAX_IDLE)
    {
    }

    void send(std::vector<OutgoingGossip> messages);
    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    struct Queue {
        std::deque<std::string> frames;
        bool sending = false;
    };
    void drain(const std::string &address, const Yield &yield);

    asio::io_context &m_context;
    GatePool m_pool;
    std::unordered_map<std::string, Queue> m_queues;
    std::uint64_t m_bytesSent = 0;
};

} // namespace mustardpond
