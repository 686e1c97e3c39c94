#include "decision/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace mustardpond {

namespace {

constexpr double GUARANTEED_SHARE = 0.15; ///< of the slots, for callers' own requests while calls wait

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
        noteStart(rank);
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
    std::size_t &count = rank == INNER_CALL_RANK ? m_runningCalls : m_runningCallers;
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
    const auto callers = firstCaller();
    const bool callsWait = callers != m_waiting.begin();
    std::size_t slots = std::max<std::size_t>(1, m_slots);
    std::size_t before = running() + static_cast<std::size_t>(std::distance(m_waiting.begin(), end));
    if (rank != INNER_CALL_RANK && callsWait) {
        // More calls are likely to come; what is sure are the guaranteed slots.
        slots = guaranteedSlots();
        before = m_runningCallers + static_cast<std::size_t>(std::distance(callers, end));
    }
    const double ahead = static_cast<double>(before) + 1 - static_cast<double>(slots);
    return std::max(0.0, ahead / static_cast<double>(slots));
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
    noteStart(next->rank);
    m_waiting.erase(next);
    return ticket;
}

std::size_t SlotQueue::guaranteedSlots() const
{
    return std::max<std::size_t>(1, std::lround(static_cast<double>(m_slots) * GUARANTEED_SHARE));
}

SlotQueue::Queue::const_iterator SlotQueue::firstCaller() const
{
    return m_waiting.lower_bound({INNER_CALL_RANK + 1, Millis(std::numeric_limits<double>::lowest()), 0});
}

SlotQueue::Queue::const_iterator SlotQueue::nextToRun()
{
    const auto caller = firstCaller();
    const bool bothWait = caller != m_waiting.begin() && caller != m_waiting.end();
    // With few slots, the guarantee alone would starve the calls instead.
    m_passedCalls = bothWait && !m_passedCalls && m_runningCallers < guaranteedSlots();
    return m_passedCalls ? caller : m_waiting.begin();
}

void SlotQueue::noteStart(int rank)
{
    ++(rank == INNER_CALL_RANK ? m_runningCalls : m_runningCallers);
}

} // namespace mustardpond
