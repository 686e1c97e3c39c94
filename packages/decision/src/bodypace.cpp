#include "decision/bodypace.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double MS_PER_SECOND = 1000;

} // namespace

void BodyPace::onWait(Millis waited, std::size_t bytes)
{
    m_waited = m_waited + waited;
    m_bytes += static_cast<double>(bytes);
    if (m_waited < m_window) {
        return;
    }
    m_stalled = m_stalled || m_bytes < m_minBytesPerSecond * m_waited.value / MS_PER_SECOND;
    m_waited = Millis();
    m_bytes = 0;
}

Millis BodyPace::timeLeft() const
{
    return std::max(Millis(), m_window - m_waited);
}

} // namespace mustardpond
