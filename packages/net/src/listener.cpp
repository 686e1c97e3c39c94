#include "net/listener.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

namespace mustardpond {

namespace {

constexpr Millis ACCEPT_RETRY_DELAY{50};
constexpr Millis BIND_RETRY_DELAY{50};

} // namespace

Listener::Listener(asio::io_context &context, Endpoint endpoint, Handler handler)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_handler(std::move(handler))
    , m_acceptor(context)
{
}

void Listener::start()
{
    const auto deadline = std::chrono::steady_clock::now() + toDuration(BIND_TIMEOUT);
    for (bool waited = false; !tryListen(); waited = true) {
        if (!waited) {
            logEvent(Event::AddressBusy, {{"address", toString(m_endpoint)}, {"timeoutMs", BIND_TIMEOUT.value}});
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            throw boost::system::system_error(asio::error::address_in_use, toString(m_endpoint));
        }
        std::this_thread::sleep_for(toDuration(BIND_RETRY_DELAY));
    }
    asio::spawn(m_context, [self = shared_from_this()](const Yield &yield) { self->acceptLoop(yield); });
}

bool Listener::tryListen()
{
    const tcp::endpoint address(asio::ip::make_address(m_endpoint.address), m_endpoint.port);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    ErrorCode error;
    m_acceptor.bind(address, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error == asio::error::address_in_use) {
        m_acceptor.close();
        return false;
    }
    if (error) {
        throw boost::system::system_error(error, toString(m_endpoint));
    }
    return true;
}

void Listener::drain(const Yield &yield)
{
    // Closing the acceptor would reset connections in the backlog, whose peers may already have sent a request.
    ErrorCode error;
    m_acceptor.non_blocking(true, error);
    m_acceptor.cancel(error);
    while (!error) {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            spawnHandler(std::move(socket));
        }
    }
    stop();
    asio::post(m_context, yield);
}

void Listener::spawnHandler(tcp::socket socket)
{
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    asio::spawn(m_context, [self = shared_from_this(), shared](const Yield &yield) {
        self->runHandler(std::move(*shared), yield);
    });
}

void Listener::stop()
{
    ErrorCode ignored;
    m_acceptor.close(ignored);
}

void Listener::acceptLoop(const Yield &yield)
{
    while (m_acceptor.is_open()) {
        tcp::socket socket(m_context);
        ErrorCode error;
        m_acceptor.async_accept(socket, yield[error]);
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            asio::steady_timer retryTimer(m_context, toDuration(ACCEPT_RETRY_DELAY));
            retryTimer.async_wait(yield[error]);
            continue;
        }
        spawnHandler(std::move(socket));
    }
}

void Listener::runHandler(tcp::socket socket, const Yield &yield)
{
    ++m_connections;
    try {
        m_handler(std::move(socket), yield);
    } catch (const boost::system::system_error &) {
        // The peer has disconnected or timed out, so it cannot be sent an error.
    } catch (const BadFrame &error) {
        logEvent(Event::PeerRejected, {{"listener", toString(m_endpoint)}, {"cause", error.what()}});
    } catch (const std::exception &error) {
        logEvent(Event::CallerRejected, {{"listener", toString(m_endpoint)}, {"cause", error.what()}});
    }
    --m_connections;
}

} // namespace mustardpond
