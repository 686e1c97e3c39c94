#include "gatepool.h"

#include "net/idlesocket.h"

namespace mustardpond {

namespace {

constexpr std::size_t MAX_IDLE_PER_GATE = 32;
constexpr Millis EXPIRY_INTERVAL{1000}; ///< at least, between two searches for channels that were idle for too long

} // namespace

std::unique_ptr<FrameChannel> GatePool::acquireIdle(const std::string &address)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        IdleChannel newest = std::move(idle.back());
        idle.pop_back();
        --m_channels;
        if (m_clock.now() - newest.since <= m_maxIdle && !isStale(newest.channel->socket())) {
            return std::move(newest.channel);
        }
    }
    return nullptr;
}

std::unique_ptr<FrameChannel> GatePool::connect(const std::string &address, Millis timeout, const Yield &yield)
{
    const Endpoint endpoint = parseEndpoint(address, "inner");
    tcp::socket socket(m_context);
    socket.open(tcp::v4());
    if (!m_bindAddress.empty()) {
        socket.bind(tcp::endpoint(asio::ip::make_address(m_bindAddress), 0));
    }
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(toDuration(timeout));
    stream.async_connect(tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port), yield);
    stream.expires_never();
    return std::make_unique<FrameChannel>(stream.release_socket());
}

std::unique_ptr<FrameChannel> GatePool::acquire(const std::string &address, Millis timeout, const Yield &yield)
{
    if (auto channel = acquireIdle(address)) {
        return channel;
    }
    return connect(address, timeout, yield);
}

void GatePool::release(const std::string &address, std::unique_ptr<FrameChannel> channel)
{
    auto &idle = m_idle[address];
    const Millis now = m_clock.now();
    idle.push_back({std::move(channel), now});
    ++m_channels;
    if (m_channels > m_maxChannels && now - m_expiredAt > EXPIRY_INTERVAL) {
        closeExpired(now);
    }
    while (!idle.empty() && (idle.size() > MAX_IDLE_PER_GATE || m_channels > m_maxChannels)) {
        idle.pop_front();
        --m_channels;
    }
}

void GatePool::closeExpired(Millis now)
{
    m_expiredAt = now;
    for (auto &[address, idle] : m_idle) {
        while (!idle.empty() && now - idle.front().since > m_maxIdle) {
            idle.pop_front();
            --m_channels;
        }
    }
}

void GatePool::drop(const std::string &address)
{
    const auto found = m_idle.find(address);
    if (found != m_idle.end()) {
        m_channels -= found->second.size();
        m_idle.erase(found);
    }
}

} // namespace mustardpond
