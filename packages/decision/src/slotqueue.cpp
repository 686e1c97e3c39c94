#include "decision/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace mustardpond {

namespace {

constexpr double GUARANTEED_SLOT_RATIO = 0.15; ///< for callers' own requests while inner calls wait

} // namespace

SlotQueue::SlotQueue(std::size_t slots, std::size_t waiting)
    : m_slots(slots)
    , m_maxWaiting(waiting)
{
}

SlotDecision SlotQueue::request(std::uint64_t ticket, Millis deadline, int rank, FairShare share)
{
    if (running() < m_slots && waiting() == 0) {
        countStart(rank);
        if (rank != INNER_CALL_RANK) {
            m_callerRequests.charge(share);
        }
        return SlotDecision::Granted;
    }
    FairRequest newcomer{rank, deadline, ticket, std::move(share)};
    if (waiting() >= m_maxWaiting && !displaceFor(newcomer)) {
        return SlotDecision::Full;
    }
    if (rank == INNER_CALL_RANK) {
        m_innerCalls.insert(std::move(newcomer));
    } else {
        m_callerRequests.push(std::move(newcomer));
    }
    return SlotDecision::Queued;
}

bool SlotQueue::displaceFor(const FairRequest &request)
{
    if (request.rank == INNER_CALL_RANK) {
        return false;
    }
    m_displaced = m_callerRequests.lastBehind(request);
    return m_displaced && m_callerRequests.remove(*m_displaced);
}

std::optional<std::uint64_t> SlotQueue::release(int rank)
{
    std::size_t &count = rank == INNER_CALL_RANK ? m_runningInnerCalls : m_runningCallerRequests;
    count -= count > 0 ? 1 : 0;
    if (running() == 0 && waiting() == 0) {
        m_callerRequests.forgetIdleFlows();
    }
    return grantNext();
}

bool SlotQueue::cancel(std::uint64_t ticket)
{
    const auto found = std::find_if(m_innerCalls.begin(), m_innerCalls.end(),
                                    [ticket](const FairRequest &call) { return call.ticket == ticket; });
    if (found == m_innerCalls.end()) {
        return m_callerRequests.remove(ticket);
    }
    m_innerCalls.erase(found);
    return true;
}

double SlotQueue::estimatedRounds(int rank, Millis deadline, const FairShare &share) const
{
    const FairRequest last{rank, deadline, std::numeric_limits<std::uint64_t>::max(), share};
    std::size_t slots = std::max<std::size_t>(1, m_slots);
    auto requestsAhead = static_cast<double>(running());
    if (rank == INNER_CALL_RANK) {
        const auto end = m_innerCalls.upper_bound(last);
        requestsAhead += static_cast<double>(std::distance(m_innerCalls.begin(), end));
    } else {
        if (!m_innerCalls.empty()) {
            // More inner calls are likely to arrive; only the guaranteed slots are certain.
            slots = guaranteedSlots();
            requestsAhead = static_cast<double>(m_runningCallerRequests);
        }
        requestsAhead += m_callerRequests.expectedAhead(last);
    }
    const double excess = requestsAhead + 1 - static_cast<double>(slots);
    return std::max(0.0, excess / static_cast<double>(slots));
}

void SlotQueue::resize(std::size_t slots)
{
    m_slots = slots;
}

std::optional<std::uint64_t> SlotQueue::grantNext()
{
    if (running() >= m_slots || waiting() == 0) {
        return std::nullopt;
    }
    if (isCallersTurn()) {
        const FairRequest &next = *m_callerRequests.front();
        const std::uint64_t ticket = next.ticket;
        countStart(next.rank);
        m_callerRequests.pop();
        return ticket;
    }
    const std::uint64_t ticket = m_innerCalls.begin()->ticket;
    countStart(INNER_CALL_RANK);
    m_innerCalls.erase(m_innerCalls.begin());
    return ticket;
}

std::size_t SlotQueue::guaranteedSlots() const
{
    return std::max<std::size_t>(1, std::lround(static_cast<double>(m_slots) * GUARANTEED_SLOT_RATIO));
}

bool SlotQueue::isCallersTurn()
{
    const bool bothWait = !m_innerCalls.empty() && m_callerRequests.size() > 0;
    // With few slots, the guaranteed slots could be all of them, so grants alternate to keep inner calls from starving.
    m_grantedPastInnerCalls = bothWait && !m_grantedPastInnerCalls && m_runningCallerRequests < guaranteedSlots();
    return m_grantedPastInnerCalls || m_innerCalls.empty();
}

void SlotQueue::countStart(int rank)
{
    ++(rank == INNER_CALL_RANK ? m_runningInnerCalls : m_runningCallerRequests);
}

} // namespace mustardpond
