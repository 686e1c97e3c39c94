#include "decision/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace mustardpond {

namespace {

constexpr double GUARANTEED_SLOT_RATIO = 0.15; ///< for callers' own requests while inner calls wait

} // namespace

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
    if (running() < m_slots && m_waiting.empty()) {
        countStart(rank);
        return SlotDecision::Granted;
    }
    if (m_waiting.size() >= m_maxWaiting) {
        return SlotDecision::Full;
    }
    m_waiting.insert({rank, deadline, ticket});
    return SlotDecision::Queued;
}

std::optional<std::uint64_t> SlotQueue::release(int rank)
{
    std::size_t &count = rank == INNER_CALL_RANK ? m_runningInnerCalls : m_runningCallerRequests;
    count -= count > 0 ? 1 : 0;
    return grantNext();
}

bool SlotQueue::cancel(std::uint64_t ticket)
{
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(), [ticket](const Waiting &w) { return w.ticket == ticket; });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

double SlotQueue::estimatedRounds(int rank, Millis deadline) const
{
    const Waiting last{rank, deadline, std::numeric_limits<std::uint64_t>::max()};
    const auto end = m_waiting.upper_bound(last);
    const auto callerRequests = firstCallerRequest();
    const bool innerCallsWait = callerRequests != m_waiting.begin();
    std::size_t slots = std::max<std::size_t>(1, m_slots);
    std::size_t requestsAhead = running() + static_cast<std::size_t>(std::distance(m_waiting.begin(), end));
    if (rank != INNER_CALL_RANK && innerCallsWait) {
        // More inner calls are likely to arrive; only the guaranteed slots are certain.
        slots = guaranteedSlots();
        requestsAhead = m_runningCallerRequests + static_cast<std::size_t>(std::distance(callerRequests, end));
    }
    const double excess = static_cast<double>(requestsAhead) + 1 - static_cast<double>(slots);
    return std::max(0.0, excess / static_cast<double>(slots));
}

void SlotQueue::resize(std::size_t slots)
{
    m_slots = slots;
}

std::optional<std::uint64_t> SlotQueue::grantNext()
{
    if (running() >= m_slots || m_waiting.empty()) {
        return std::nullopt;
    }
    const auto next = nextToRun();
    const std::uint64_t ticket = next->ticket;
    countStart(next->rank);
    m_waiting.erase(next);
    return ticket;
}

std::size_t SlotQueue::guaranteedSlots() const
{
    return std::max<std::size_t>(1, std::lround(static_cast<double>(m_slots) * GUARANTEED_SLOT_RATIO));
}

SlotQueue::Queue::const_iterator SlotQueue::firstCallerRequest() const
{
    return m_waiting.lower_bound({INNER_CALL_RANK + 1, Millis(std::numeric_limits<double>::lowest()), 0});
}

SlotQueue::Queue::const_iterator SlotQueue::nextToRun()
{
    const auto callerRequest = firstCallerRequest();
    const bool bothWait = callerRequest != m_waiting.begin() && callerRequest != m_waiting.end();
    // With few slots, the guaranteed slots could be all of them, so grants alternate to keep inner calls from starving.
    m_grantedPastInnerCalls = bothWait && !m_grantedPastInnerCalls && m_runningCallerRequests < guaranteedSlots();
    return m_grantedPastInnerCalls ? callerRequest : m_waiting.begin();
}

void SlotQueue::countStart(int rank)
{
    ++(rank == INNER_CALL_RANK ? m_runningInnerCalls : m_runningCallerRequests);
}

} // namespace mustardpond
