/// Lets several coroutines wait for one event.
#pragma once

#include "net/net.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace mustardpond {

/// Not thread-safe; the waiting coroutines run on one context.
class SharedWait
{
public:
    explicit SharedWait(asio::io_context &context)
        : m_context(context)
    {
    }

    /// Returns after the next notifyAll(), or when the timeout has passed.
    void wait(Millis timeout, const Yield &yield)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, toDuration(timeout));
        m_timers.push_back(timer);
        ErrorCode ignored;
        timer->async_wait(yield[ignored]);
        m_timers.erase(std::remove(m_timers.begin(), m_timers.end(), timer), m_timers.end());
    }
    void notifyAll()
    {
        for (const auto &timer : std::exchange(m_timers, {})) {
            timer->cancel();
        }
    }

private:
    asio::io_context &m_context;
    std::vector<std::shared_ptr<asio::steady_timer>> m_timers;
};

} // namespace mustardpond
