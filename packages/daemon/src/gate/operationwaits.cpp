#include "operationwaits.h"

#include <algorithm>

namespace mustardpond {

void OperationWaits::wait(const OperationId &id, Millis timeout, const Yield &yield)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, toDuration(timeout));
    m_timers[id.number].push_back(timer);
    ErrorCode ignored;
    timer->async_wait(yield[ignored]);
    const auto found = m_timers.find(id.number);
    if (found == m_timers.end()) {
        return;
    }
    Timers &timers = found->second;
    timers.erase(std::remove(timers.begin(), timers.end(), timer), timers.end());
    if (timers.empty()) {
        m_timers.erase(found);
    }
}

void OperationWaits::notifyEnded(const OperationId &id)
{
    const auto found = m_timers.find(id.number);
    if (found == m_timers.end()) {
        return;
    }
    for (const auto &timer : found->second) {
        timer->cancel();
    }
    m_timers.erase(found);
}

} // namespace mustardpond
