#include "slotreservation.h"

#include "bodydigest.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis TURN_SEND_TIMEOUT{5000};
constexpr Millis RECHECK_INTERVAL{200}; ///< the upstream may start to fail or drain while a request waits
constexpr Millis DEADLINE_SHIFT_PER_RANK{400}; ///< each rank counts as a deadline this much later

} // namespace

SlotReservation::SlotReservation(GateContext &gate, const wire::ReserveT &reserve, FrameChannel &channel)
    : m_gate(gate)
    , m_reserve(reserve)
    , m_channel(channel)
    , m_deadline(gate.clock.now() + Millis(reserve.deadlineMs))
{
    m_query.service = reserve.service;
    m_query.upstream = reserve.upstream;
    m_query.workClass = reserve.workClass;
    m_query.mayTry = reserve.mayTry;
    m_query.mustServe = reserve.mustServe;
    m_query.fingerprint = reserve.fingerprint;
    m_query.peerBaseline = {Millis(reserve.badAboveMs), reserve.peerBadShare};
}

std::unique_ptr<SlotGuard> SlotReservation::acquire(const Yield &yield)
{
    if (const auto denial = checkAdmission(m_gate, m_query, m_gate.clock.now())) {
        deny(*denial, yield);
        return nullptr;
    }
    if (m_reserve.streamed && !waitForStreamedPlace(*findUpstream(m_gate, m_query), yield)) {
        return nullptr;
    }
    const LocalUpstream *upstream = findUpstream(m_gate, m_query);
    if (!upstream) {
        deny({NotRunReason::NoUpstream, "the gate does not serve the upstream"}, yield);
        return nullptr;
    }
    auto slot = waitForSlot(*upstream, yield);
    if (!slot) {
        return nullptr;
    }
    // The state of the upstream may have changed during the wait.
    if (const auto denial = checkAdmission(m_gate, m_query, m_gate.clock.now())) {
        slot.reset();
        deny(*denial, yield);
        return nullptr;
    }
    m_grantedAt = m_gate.clock.now();
    sendState(wire::TurnState::Granted, yield);
    return slot;
}

std::unique_ptr<SlotGuard> SlotReservation::waitForSlot(const LocalUpstream &upstream, const Yield &yield)
{
    const auto queue = upstream.queue;
    const bool full = queue->running() >= queue->slots() || queue->waiting() > 0;
    if (full && !m_reserve.mayWait) {
        deny({NotRunReason::Busy, "all slots of the upstream are in use"}, yield);
        return nullptr;
    }
    if (full) {
        sendState(wire::TurnState::Waiting, yield);
    }
    while (true) {
        switch (requestSlot(queue, yield)) {
        case SlotResult::Full:
            deny({NotRunReason::Busy, "the upstream's queue is full"}, yield);
            return nullptr;
        case SlotResult::Taken:
            return std::make_unique<SlotGuard>(m_gate.slotScheduler, queue, slotPriority().rank);
        case SlotResult::Expired:
            break;
        }
        const Millis now = m_gate.clock.now();
        if (const auto denial = checkAdmission(m_gate, m_query, now)) {
            deny(*denial, yield);
            return nullptr;
        }
        if (m_withdrawn || now >= m_deadline) {
            deny({NotRunReason::Deadline, "the deadline passed in the upstream's queue"}, yield);
            return nullptr;
        }
    }
}

bool SlotReservation::waitForStreamedPlace(const LocalUpstream &upstream, const Yield &yield)
{
    const std::string id = upstream.announced.id;
    const std::size_t slots = upstream.queue->slots();
    m_streamedPlace = m_gate.streamedSlots.tryAcquire(id, slots);
    if (m_streamedPlace) {
        return true;
    }
    const Denial denial{NotRunReason::Busy, "too many bodies are still arriving at the upstream"};
    if (!m_reserve.mayWait) {
        deny(denial, yield);
        return false;
    }
    sendState(wire::TurnState::Waiting, yield);
    const Millis timeLeft = m_deadline - m_gate.clock.now();
    m_streamedPlace = m_gate.streamedSlots.acquire(id, slots, std::max(Millis(1), timeLeft), yield);
    if (!m_streamedPlace) {
        deny(denial, yield);
    }
    return m_streamedPlace != nullptr;
}

SlotPriority SlotReservation::slotPriority() const
{
    // Calls that a running request waits for go first, except for the slots that the queue guarantees to other
    // requests. Those are ordered by deadline, and a more urgent class counts as having an earlier one: short requests
    // are served while long ones wait, and no class starves. Routers set the deadline so that time is left for the
    // run.
    if (m_reserve.rank == INNER_CALL_RANK) {
        return {INNER_CALL_RANK, m_deadline, {}};
    }
    const Millis serviceTime = m_gate.trustOf(m_reserve.upstream).typicalServiceTime(m_reserve.workClass);
    return {INNER_CALL_RANK + 1,
            m_deadline + DEADLINE_SHIFT_PER_RANK * m_reserve.rank,
            {m_reserve.organisation, m_reserve.weight, serviceTime.value}};
}

SlotResult SlotReservation::requestSlot(const std::shared_ptr<SlotQueue> &queue, const Yield &yield)
{
    const Millis timeLeft = m_deadline - m_gate.clock.now();
    const Millis timeout(std::max(1.0, std::min(RECHECK_INTERVAL.value, timeLeft.value)));
    const SlotPriority priority = slotPriority();
    if (queue->running() < queue->slots() && queue->waiting() == 0) {
        return m_gate.slotScheduler.acquire(queue, priority, timeout, yield);
    }
    const std::uint64_t ticket = m_gate.slotScheduler.nextTicket();
    auto waiting = std::make_shared<bool>(true);
    m_channel.socket().async_wait(tcp::socket::wait_read, [this, ticket, waiting](ErrorCode error) {
        if (!error && *waiting) {
            m_withdrawn = true;
            m_gate.slotScheduler.cancel(ticket);
        }
    });
    const SlotResult result = m_gate.slotScheduler.acquire(queue, priority, timeout, yield);
    *waiting = false;
    ErrorCode ignored;
    m_channel.socket().cancel(ignored);
    return result;
}

void SlotReservation::sendState(wire::TurnState state, const Yield &yield)
{
    wire::TurnT message;
    message.request = m_reserve.request;
    message.state = state;
    m_channel.send(packMessage(message), TURN_SEND_TIMEOUT, yield);
}

void SlotReservation::deny(const Denial &denial, const Yield &yield)
{
    wire::AnswerT answer;
    answer.request = m_reserve.request;
    answer.outcome = wire::Outcome::NotRun;
    answer.reason = static_cast<wire::NotRunReason>(denial.reason);
    answer.detail = denial.detail;
    answer.digest = bodyDigest(answer.body);
    if (const LocalUpstream *upstream = findUpstream(m_gate, m_query)) {
        answer.load = std::make_unique<wire::LoadT>(loadOf(m_gate, *upstream, m_reserve.workClass));
        answer.waitMs = estimatedWait(*upstream, m_gate.trustOf(upstream->announced.id), slotPriority()).value;
    }
    m_channel.send(packMessage(std::move(answer)), TURN_SEND_TIMEOUT, yield);
}

} // namespace mustardpond
