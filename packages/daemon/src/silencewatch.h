/// Watches one connection for silence: an answer that has not begun within a time.
#pragma once

#include "net/net.h"

#include <functional>
#include <memory>

namespace mustardpond {

/// Calls a handler when the time is up, unless the watch is destroyed before. The handler decides whether the
/// connection is given up for silent.
class SilenceWatch
{
public:
    using Handler = std::function<void()>;

    SilenceWatch(asio::io_context &context, Millis limit, Handler onLimit);
    ~SilenceWatch();
    SilenceWatch(const SilenceWatch &) = delete;
    SilenceWatch &operator=(const SilenceWatch &) = delete;

private:
    struct State {
        explicit State(asio::io_context &context)
            : timer(context)
        {
        }

        asio::steady_timer timer;
        Handler onLimit; ///< empty once the watch has ended
    };

    std::shared_ptr<State> m_state;
};

} // namespace mustardpond
