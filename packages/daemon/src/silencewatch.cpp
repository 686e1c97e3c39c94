#include "silencewatch.h"

namespace mustardpond {

SilenceWatch::SilenceWatch(asio::io_context &context, Millis timeout, Handler onTimeout)
    : m_state(std::make_shared<State>(context))
{
    m_state->onTimeout = std::move(onTimeout);
    m_state->timer.expires_after(toDuration(timeout));
    m_state->timer.async_wait([state = m_state](ErrorCode error) {
        if (!error && state->onTimeout) {
            state->onTimeout();
        }
    });
}

SilenceWatch::~SilenceWatch()
{
    m_state->onTimeout = nullptr;
    m_state->timer.cancel();
}

} // namespace mustardpond
