/// Decides when a body that arrives too slowly loses its slot.
#pragma once

#include "foundation/clock.h"

#include <cstddef>

namespace mustardpond {

/// Answers the load of callers that send the start of a large body and then little or nothing: each held a slot of an
/// upstream for as long as the body could last, and an ordinary request found none. Only the time that is spent waiting
/// for the caller counts, since an upstream may be slow to take the body.
class BodyPace
{
public:
    BodyPace(double minBytesPerSecond, Millis window)
        : m_minBytesPerSecond(minBytesPerSecond)
        , m_window(window)
    {
    }

    /// Records how long the caller was waited for, and what came.
    void onWait(Millis waited, std::size_t bytes);
    /// Returns how much longer to wait for bytes; never negative.
    Millis timeLeft() const;
    /// Whether the body delivered too little over a whole window.
    bool isStalled() const
    {
        return m_stalled;
    }

private:
    double m_minBytesPerSecond;
    Millis m_window;
    Millis m_waited; ///< in the current window
    double m_bytes = 0; ///< in the current window
    bool m_stalled = false;
};

} // namespace mustardpond
