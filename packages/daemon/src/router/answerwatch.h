/// Notices that an answer begins on a channel while another one is in use.
#pragma once

#include "framechannel.h"

#include <functional>
#include <memory>

namespace mustardpond {

/// Calls a handler once bytes arrive on a channel or its peer closes it, unless the watch is destroyed earlier. Nothing
/// is read.
class AnswerWatch
{
public:
    /// @param channel null to watch nothing; must outlive the watch
    AnswerWatch(FrameChannel *channel, std::function<void()> onAnswer);
    ~AnswerWatch();
    AnswerWatch(const AnswerWatch &) = delete;
    AnswerWatch &operator=(const AnswerWatch &) = delete;

private:
    FrameChannel *m_channel;
    std::shared_ptr<std::function<void()>> m_onAnswer; ///< empty once the watch has ended
};

} // namespace mustardpond
