/// Notices that an upstream resets its connection while nothing is read from it or written to it.
#pragma once

#include "net/net.h"

#include <functional>
#include <memory>

namespace mustardpond {

/// Calls a handler once the connection is reset, unless the watch is destroyed earlier. Bytes that arrived before the
/// reset stay unread.
class ResetWatch
{
public:
    /// @param socket must outlive the watch; no other operation may be pending on it when the watch is destroyed
    ResetWatch(tcp::socket &socket, std::function<void()> onReset);
    ~ResetWatch();
    ResetWatch(const ResetWatch &) = delete;
    ResetWatch &operator=(const ResetWatch &) = delete;

private:
    tcp::socket &m_socket;
    std::shared_ptr<std::function<void()>> m_onReset; ///< empty once the watch has ended
};

} // namespace mustardpond
