#include "slotscheduler.h"

namespace mustardpond {

SlotResult SlotScheduler::acquire(const std::shared_ptr<SlotQueue> &queue, const SlotPriority &priority, Millis timeout,
                                  const Yield &yield)
{
    const std::uint64_t ticket = m_nextTicket++;
    const SlotDecision decision = queue->request(ticket, priority.deadline, priority.rank, priority.share);
    if (const auto displaced = queue->takeDisplaced()) {
        const auto waiter = m_waiters.find(*displaced);
        if (waiter != m_waiters.end()) {
            waiter->second->displaced = true;
            waiter->second->timer.cancel();
        }
    }
    switch (decision) {
    case SlotDecision::Granted:
        return SlotResult::Taken;
    case SlotDecision::Full:
        return SlotResult::Full;
    case SlotDecision::Queued:
        break;
    }
    auto waiter = std::make_shared<Waiter>(m_context);
    m_waiters[ticket] = waiter;
    waiter->timer.expires_after(toDuration(timeout));
    ErrorCode ignored;
    waiter->timer.async_wait(yield[ignored]);
    m_waiters.erase(ticket);
    if (waiter->granted) {
        return SlotResult::Taken;
    }
    queue->cancel(ticket);
    return waiter->displaced ? SlotResult::Full : SlotResult::Expired;
}

void SlotScheduler::cancel(std::uint64_t ticket)
{
    const auto waiter = m_waiters.find(ticket);
    if (waiter != m_waiters.end()) {
        waiter->second->timer.cancel();
    }
}

void SlotScheduler::release(const std::shared_ptr<SlotQueue> &queue, int rank)
{
    const auto next = queue->release(rank);
    if (!next) {
        return;
    }
    const auto waiter = m_waiters.find(*next);
    if (waiter == m_waiters.end()) {
        return;
    }
    waiter->second->granted = true;
    waiter->second->timer.cancel();
}

} // namespace mustardpond
