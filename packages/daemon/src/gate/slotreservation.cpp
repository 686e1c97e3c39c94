#include "slotreservation.h"

#include "bodydigest.h"

namespace mustardpond {

namespace {

constexpr Millis SEND_TIMEOUT{5000};
constexpr Millis RECHECK{200}; ///< while a request waits, the upstream may become one that must not have it
constexpr Millis URGENCY_STEP{400}; ///< of waiting time that one step of priority is worth

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

std::unique_ptr<SlotGuard> SlotReservation::obtain(const Yield &yield)
{
    if (const auto denial = denialOf(m_gate, m_query, m_gate.clock.now())) {
        deny(*denial, yield);
        return nullptr;
    }
    const LocalUpstream *upstream = findUpstream(m_gate, m_query);
    auto hold = waitForSlot(*upstream, yield);
    if (!hold) {
        return nullptr;
    }
    // The wait may have been long.
    if (const auto denial = denialOf(m_gate, m_query, m_gate.clock.now())) {
        hold.reset();
        deny(*denial, yield);
        return nullptr;
    }
    m_grantedAt = m_gate.clock.now();
    sendTurn(wire::TurnState::Granted, yield);
    return hold;
}

std::unique_ptr<SlotGuard> SlotReservation::waitForSlot(const LocalUpstream &upstream, const Yield &yield)
{
    const auto queue = upstream.queue;
    const bool full = queue->running() >= queue->slots() || queue->waiting() > 0;
    if (full && !m_reserve.mayWait) {
        deny({NotRunReason::Busy, "all slots of the upstream are taken"}, yield);
        return nullptr;
    }
    if (full) {
        sendTurn(wire::TurnState::Waiting, yield);
    }
    while (true) {
        switch (takeTurn(queue, yield)) {
        case SlotResult::Full:
            deny({NotRunReason::Busy, "the upstream's queue is full"}, yield);
            return nullptr;
        case SlotResult::Taken:
            return std::make_unique<SlotGuard>(m_gate.slotScheduler, queue, turnOrder().rank);
        case SlotResult::Expired:
            break;
        }
        const Millis now = m_gate.clock.now();
        if (const auto denial = denialOf(m_gate, m_query, now)) {
            deny(*denial, yield);
            return nullptr;
        }
        if (m_withdrawn || now >= m_deadline) {
            deny({NotRunReason::Deadline, "the deadline passed in the upstream's queue"}, yield);
            return nullptr;
        }
    }
}

SlotPriority SlotReservation::turnOrder() const
{
    // Calls that a running request waits for go first, but for what the queue guarantees to others. Among those,
    // whoever can wait least goes first, and a more urgent class counts as one that can wait less: so short requests
    // are served while long ones wait, and no class starves. Routers ask for no longer wait than leaves time for the
    // run.
    if (m_reserve.rank == INNER_CALL_RANK) {
        return {INNER_CALL_RANK, m_deadline};
    }
    return {INNER_CALL_RANK + 1, m_deadline + URGENCY_STEP * m_reserve.rank};
}

SlotResult SlotReservation::takeTurn(const std::shared_ptr<SlotQueue> &queue, const Yield &yield)
{
    const Millis left = m_deadline - m_gate.clock.now();
    const Millis remaining(std::max(1.0, std::min(RECHECK.value, left.value)));
    const SlotPriority order = turnOrder();
    if (queue->running() < queue->slots() && queue->waiting() == 0) {
        return m_gate.slotScheduler.take(queue, order, remaining, yield);
    }
    const std::uint64_t ticket = m_gate.slotScheduler.nextTicket();
    auto waiting = std::make_shared<bool>(true);
    m_channel.socket().async_wait(tcp::socket::wait_read, [this, ticket, waiting](ErrorCode error) {
        if (!error && *waiting) {
            m_withdrawn = true;
            m_gate.slotScheduler.cancel(ticket);
        }
    });
    const SlotResult result = m_gate.slotScheduler.take(queue, order, remaining, yield);
    *waiting = false;
    ErrorCode ignored;
    m_channel.socket().cancel(ignored);
    return result;
}

void SlotReservation::sendTurn(wire::TurnState state, const Yield &yield)
{
    wire::TurnT turn;
    turn.request = m_reserve.request;
    turn.state = state;
    m_channel.send(packMessage(turn), SEND_TIMEOUT, yield);
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
        answer.waitMs = estimatedWait(*upstream, m_gate.trustOf(upstream->announced.id), turnOrder()).value;
    }
    m_channel.send(packMessage(std::move(answer)), SEND_TIMEOUT, yield);
}

} // namespace mustardpond
