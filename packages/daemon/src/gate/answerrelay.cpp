#include "answerrelay.h"

namespace mustardpond {

void AnswerRelay::send(const std::string &piece, Millis timeout, const Yield &yield)
{
    const Millis startedAt = m_gate.clock.now();
    m_gate.trustOf(m_run.upstream).onReaderWait(m_run.number, startedAt);
    m_gate.detectorOf(m_run.upstream).onReaderWait(m_run.number, startedAt);
    m_sendFailed = true; // unless the call returns
    m_channel.send(piece, timeout, yield);
    m_sendFailed = false;
    const Millis now = m_gate.clock.now();
    m_gate.trustOf(m_run.upstream).onReaderReady(m_run.number, now);
    m_gate.detectorOf(m_run.upstream).onReaderReady(m_run.number, now);
    m_waited = m_waited + (now - startedAt);
    m_longestWait = std::max(m_longestWait, now - startedAt);
}

} // namespace mustardpond
