#include "callerwatch.h"

namespace mustardpond {

CallerWatch::CallerWatch(tcp::socket &socket, std::function<void()> onLeave)
    : m_socket(socket)
    , m_active(std::make_shared<bool>(true))
{
    m_socket.async_wait(
        tcp::socket::wait_read, [&socket, active = m_active, handler = std::move(onLeave)](ErrorCode error) {
            if (error || !*active) {
                return;
            }
            char byte = 0;
            ErrorCode state;
            const auto peeked = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, state);
            if (state || peeked == 0) {
                handler();
            }
        });
}

CallerWatch::~CallerWatch()
{
    *m_active = false;
    ErrorCode ignored;
    m_socket.cancel(ignored);
}

} // namespace mustardpond
