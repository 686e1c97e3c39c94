/// Notices that a caller leaves while its request is being served.
#pragma once

#include "net/net.h"

#include <functional>
#include <memory>

namespace mustardpond {

/// Calls a handler when the caller closes its connection, unless the watch is destroyed earlier. Nothing is read.
class CallerWatch
{
public:
    /// @param socket must outlive the watch
    CallerWatch(tcp::socket &socket, std::function<void()> onLeave);
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

private:
    tcp::socket &m_socket;
    std::shared_ptr<bool> m_active;
};

} // namespace mustardpond
