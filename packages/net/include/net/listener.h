/// Accepts connections and handles each in a coroutine of its own.
#pragma once

#include "config/daemonsettings.h"
#include "net/net.h"

#include <functional>
#include <memory>

namespace mustardpond {

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Handler = std::function<void(tcp::socket, const Yield &)>;

    /// @param handler handles one connection; an exception that it throws closes only that connection
    Listener(asio::io_context &context, Endpoint endpoint, Handler handler);

    /// Throws boost::system::system_error if the address cannot be used.
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
