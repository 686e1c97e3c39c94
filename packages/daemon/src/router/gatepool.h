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

/// A channel serves one exchange at a time, so back-pressure is TCP's own and a broken exchange costs one connection.
class GatePool
{
public:
    /// @param longestIdle after which a connection is not used again: the machine behind it may be another one, and
    /// nothing tells
    GatePool(asio::io_context &context, std::string bindAddress, Millis longestIdle = DEFAULT_MAX_IDLE)
        : m_context(context)
        , m_bindAddress(std::move(bindAddress))
        , m_longestIdle(longestIdle)
    {
    }

    /// An idle channel, if one is known to be usable; null otherwise.
    std::unique_ptr<FrameChannel> acquireIdle(const std::string &address);
    /// A new channel. Throws boost::system::system_error.
    std::unique_ptr<FrameChannel> connect(const std::string &address, Millis timeout, const Yield &yield);
    /// acquireIdle() or connect().
    std::unique_ptr<FrameChannel> acquire(const std::string &address, Millis timeout, const Yield &yield);
    void release(const std::string &address, std::unique_ptr<FrameChannel> channel);
    /// Closes the idle channels to an address.
    void drop(const std::string &address)
    {
        m_idle.erase(address);
    }

private:
    asio::io_context &m_context;
    std::string m_bindAddress;
    struct Idle {
        std::unique_ptr<FrameChannel> channel;
        Millis since;
    };

    Millis m_longestIdle;
    SteadyClock m_clock;
    std::unordered_map<std::string, std::deque<Idle>> m_idle;
};

} // namespace mustardpond
