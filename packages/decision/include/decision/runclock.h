/// Time that a run of an upstream has taken, without the waits for a caller that reads the answer slowly.
#pragma once

#include "foundation/clock.h"

#include <optional>

namespace mustardpond {

class RunClock
{
public:
    explicit RunClock(Millis startedAt = {})
        : m_startedAt(startedAt)
    {
    }
    void pause(Millis now)
    {
        m_pausedAt = now;
    }
    void resume(Millis now)
    {
        m_paused = m_pausedAt ? m_paused + (now - *m_pausedAt) : m_paused;
        m_pausedAt.reset();
    }
    bool isPaused() const
    {
        return m_pausedAt.has_value();
    }
    Millis startedAt() const
    {
        return m_startedAt;
    }
    Millis elapsed(Millis now) const
    {
        return m_pausedAt.value_or(now) - m_startedAt - m_paused;
    }

private:
    Millis m_startedAt;
    Millis m_paused; ///< earlier
    std::optional<Millis> m_pausedAt;
};

} // namespace mustardpond
