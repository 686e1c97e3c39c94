/// Accepts connections and handles each in a coroutine of its own.
#pragma once

#include "config/daemonsettings.h"
#include "net/net.h"

#include <functional>
#include <memory>

namespace mustardpond {

/// For an address that another socket still uses: an earlier process that is being stopped, or an outgoing connection
/// that was given the port.
constexpr Millis BIND_TIMEOUT{10000};

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Handler = std::function<void(tcp::socket, const Yield &)>;

    /// @param handler handles one connection; an exception that it throws closes only that connection
    Listener(asio::io_context &context, Endpoint endpoint, Handler handler);

    /// Blocks while the address is in use. Throws boost::system::system_error if it cannot be used, or not within
    /// BIND_TIMEOUT.
    void start();
    /// Accepts the connections in the backlog, then stops.
    void drain(const Yield &yield);
    /// Stops accepting connections; open connections are not affected.
    void stop();
    /// Returns the number of open connections.
    std::size_t connections() const
    {
        return m_connections;
    }

private:
    /// Returns false if the address is in use.
    bool tryListen();
    void acceptLoop(const Yield &yield);
    void spawnHandler(tcp::socket socket);
    void runHandler(tcp::socket socket, const Yield &yield);

    asio::io_context &m_context;
    Endpoint m_endpoint;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
};

} // namespace mustardpond
