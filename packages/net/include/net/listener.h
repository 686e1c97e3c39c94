/// Accepts connections and serves each in a coroutine of its own.
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

    /// @param handler serves one connection; an exception of it ends that connection only
    Listener(asio::io_context &context, Endpoint endpoint, Handler handler);

    /// Throws boost::system::system_error if the address cannot be used.
    void start();
    /// Accepts the connections that wait, then stops.
    void drain(const Yield &yield);
    /// Accepts no further connections; those that are open go on.
    void stop();
    std::size_t connections() const
    {
        return m_connections;
    }

private:
    void accept(const Yield &yield);
    void spawnServe(tcp::socket socket);
    void serve(tcp::socket socket, const Yield &yield);

    asio::io_context &m_context;
    Endpoint m_endpoint;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
};

} // namespace mustardpond
