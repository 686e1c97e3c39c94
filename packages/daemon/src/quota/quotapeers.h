/// Exchanges of quota messages with other members.
#pragma once

#include "gatepool.h"

#include "foundation/clock.h"
#include "foundation/errors.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardpond {

/// Not thread-safe.
class QuotaPeers
{
public:
    using Replies = std::vector<std::optional<wire::QuotaReplyT>>;

    QuotaPeers(asio::io_context &context, const Clock &clock, const std::string &bindAddress)
        : m_context(context)
        , m_clock(clock)
        , m_pool(context, bindAddress)
    {
    }

    /// Sends a message and returns the reply to it; nothing if none has arrived within the timeout, which includes
    /// connecting.
    template <typename Reply, typename Request>
    std::optional<Reply> ask(const std::string &address, Request request, Millis timeout, const Yield &yield);
    /// Asks several members at the same time. Returns the replies in the order of the addresses, once all have arrived,
    /// the replies so far are enough, or the timeout has passed.
    Replies askAll(const std::vector<std::string> &addresses, const wire::QuotaRequestT &request, Millis timeout,
                   const std::function<bool(const Replies &)> &isEnough, const Yield &yield);
    /// Sends a message that has no reply. Failures are ignored.
    void send(const std::string &address, const wire::QuotaReturnT &message, Millis timeout, const Yield &yield);

private:
    asio::io_context &m_context;
    const Clock &m_clock;
    GatePool m_pool;
    std::uint64_t m_lastNumber = 0;
};

template <typename Reply, typename Request>
std::optional<Reply> QuotaPeers::ask(const std::string &address, Request request, Millis timeout, const Yield &yield)
{
    const Millis deadline = m_clock.now() + timeout;
    request.request = ++m_lastNumber;
    bool reused = false;
    do {
        try {
            auto channel = m_pool.acquireIdle(address);
            reused = channel != nullptr;
            if (!channel) {
                channel = m_pool.connect(address, deadline - m_clock.now(), yield);
            }
            Reply reply = channel->template ask<Reply>(request, deadline - m_clock.now(), yield);
            m_pool.release(address, std::move(channel));
            return reply;
        } catch (const std::exception &) {
            m_pool.drop(address); // an idle connection that the peer has closed; a new one may work
        }
    } while (reused && m_clock.now() < deadline);
    return std::nullopt;
}

} // namespace mustardpond
