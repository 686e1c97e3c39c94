/// Idle connections to the gates of other daemons.
#pragma once

#include "config/daemonsettings.h"
#include "framechannel.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace mustardpond {

constexpr Millis DEFAULT_MAX_IDLE{60000};
constexpr std::size_t DEFAULT_MAX_CHANNELS = 1000;

/// A channel serves one exchange at a time, so TCP provides the back-pressure and a failed exchange costs only one
/// connection.
class GatePool
{
public:
    /// @param maxIdle idle time after which a connection is not used again: the address may belong to another
    /// machine by then, without any sign on the connection
    GatePool(asio::io_context &context, std::string bindAddress, Millis maxIdle = DEFAULT_MAX_IDLE)
        : m_context(context)
        , m_bindAddress(std::move(bindAddress))
        , m_maxIdle(maxIdle)
    {
    }

    /// Limits the idle channels to all gates together. They would take the descriptors that callers and requests need:
    /// with many gates, each may have some.
    void setMaxChannels(std::size_t maxChannels)
    {
        m_maxChannels = maxChannels;
    }
    std::size_t idleChannels() const
    {
        return m_channels;
    }
    /// Returns an idle channel that is neither stale nor idle for too long; null when there is none.
    std::unique_ptr<FrameChannel> acquireIdle(const std::string &address);
    /// Opens a new channel. Throws boost::system::system_error.
    std::unique_ptr<FrameChannel> connect(const std::string &address, Millis timeout, const Yield &yield);
    /// Returns an idle channel, or opens a new one when there is none.
    std::unique_ptr<FrameChannel> acquire(const std::string &address, Millis timeout, const Yield &yield);
    void release(const std::string &address, std::unique_ptr<FrameChannel> channel);
    /// Closes the idle channels to an address.
    void drop(const std::string &address);

private:
    /// Closes channels that are not used again, so that they leave room for those to other gates.
    void closeExpired(Millis now);

    asio::io_context &m_context;
    std::string m_bindAddress;
    struct IdleChannel {
        std::unique_ptr<FrameChannel> channel;
        Millis since;
    };

    Millis m_maxIdle;
    std::size_t m_maxChannels = DEFAULT_MAX_CHANNELS;
    Millis m_expiredAt; ///< last call of closeExpired()
    std::size_t m_channels = 0; ///< idle, to all gates
    SteadyClock m_clock;
    std::unordered_map<std::string, std::deque<IdleChannel>> m_idle;
};

} // namespace mustardpond
