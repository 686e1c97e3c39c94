#include "answerwatch.h"

namespace mustardpond {

AnswerWatch::AnswerWatch(FrameChannel *channel, std::function<void()> onAnswer)
    : m_channel(channel)
    , m_onAnswer(std::make_shared<std::function<void()>>(std::move(onAnswer)))
{
    if (!m_channel) {
        return;
    }
    m_channel->socket().async_wait(tcp::socket::wait_read, [handler = m_onAnswer](ErrorCode error) {
        if (!error && *handler) {
            (*handler)();
        }
    });
}

AnswerWatch::~AnswerWatch()
{
    *m_onAnswer = nullptr;
    if (m_channel) {
        ErrorCode ignored;
        m_channel->socket().cancel(ignored);
    }
}

} // namespace mustardpond
