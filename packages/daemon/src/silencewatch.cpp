#include "silencewatch.h"

namespace mustardpond {

SilenceWatch::SilenceWatch(asio::io_context &context, Millis limit, Handler onLimit)
    : m_state(std::make_shared<State>(context))
{
    m_state->onLimit = std::move(onLimit);
    m_state->timer.expires_after(toDuration(limit));
    m_state->timer.async_wait([state = m_state](ErrorCode error) {
        if (!error && state->onLimit) {
            state->onLimit();
        }
    });
}

SilenceWatch::~SilenceWatch()
{
    m_state->onLimit = nullptr;
    m_state->timer.cancel();
}

} // namespace mustardpond
