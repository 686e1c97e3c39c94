#include "decision/slotqueue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace mustardpond {

bool SlotQueue::Waiting::operator<(const Waiting &other) const
{
    if (rank != other.rank) {
        return rank < other.rank;
    }
    return deadline != other.deadline ? deadline < other.deadline : ticket < other.ticket;
}

SlotQueue::SlotQueue(std::size_t slots, std::size_t waiting)
    : m_slots(slots)
    , m_maxWaiting(waiting)
{
}

SlotDecision SlotQueue::request(std::uint64_t ticket, Millis deadline, int rank)
{
    if (m_running < m_slots && m_waiting.empty()) {
        ++m_running;
        return SlotDecision::Granted;
    }
    if (m_waiting.size() >= m_maxWaiting) {
        return SlotDecision::Full;
    }
    m_waiting.insert({rank, deadline, ticket});
    return SlotDecision::Queued;
}

std::optional<std::uint64_t> SlotQueue::release()
{
    m_running -= m_running > 0 ? 1 : 0;
    return grantNext();
}

bool SlotQueue::abandon(std::uint64_t ticket)
{
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(), [ticket](const Waiting &w) { return w.ticket == ticket; });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

std::size_t SlotQueue::waitingBefore(int rank, Millis deadline) const
{
    const Waiting last{rank, deadline, std::numeric_limits<std::uint64_t>::max()};
    return static_cast<std::size_t>(std::distance(m_waiting.begin(), m_waiting.upper_bound(last)));
}

void SlotQueue::resize(std::size_t slots)
{
    m_slots = slots;
}

std::optional<std::uint64_t> SlotQueue::grantNext()
{
    if (m_running >= m_slots || m_waiting.empty()) {
        return std::nullopt;
    }
    const std::uint64_t ticket = m_waiting.begin()->ticket;
    m_waiting.erase(m_waiting.begin());
    ++m_running;
    return ticket;
}

} // namespace mustardpond
