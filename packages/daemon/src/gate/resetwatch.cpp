#include "resetwatch.h"

namespace mustardpond {

ResetWatch::ResetWatch(tcp::socket &socket, std::function<void()> onReset)
    : m_socket(socket)
    , m_onReset(std::make_shared<std::function<void()>>(std::move(onReset)))
{
    m_socket.async_wait(tcp::socket::wait_error, [handler = m_onReset](ErrorCode error) {
        if (!error && *handler) {
            (*handler)();
        }
    });
}

ResetWatch::~ResetWatch()
{
    *m_onReset = nullptr;
    ErrorCode ignored;
    m_socket.cancel(ignored);
}

} // namespace mustardpond
