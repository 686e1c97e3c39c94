/// Detects a silent connection: one on which an answer does not begin in time.
#pragma once

#include "net/net.h"

#include <functional>
#include <memory>

namespace mustardpond {

/// Calls a handler after the timeout, unless the watch is destroyed earlier. The handler decides whether the
/// connection counts as silent.
class SilenceWatch
{
public:
    using Handler = std::function<void()>;

    SilenceWatch(asio::io_context &context, Millis timeout, Handler onTimeout);
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
        Handler onTimeout; ///< empty once the watch has ended
    };

    std::shared_ptr<State> m_state;
};

} // namespace mustardpond
