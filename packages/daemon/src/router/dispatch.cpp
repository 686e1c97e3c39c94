#include "dispatch.h"

#include "bodydigest.h"
#include "httprules.h"
#include "regionbytes.h"
#include "silencewatch.h"

#include "decision/slotqueue.h"
#include "decision/waitlimit.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis CONNECT_TIMEOUT{500};
constexpr Millis SEND_TIMEOUT{5000};
constexpr Millis HOLD_PAUSE{10};
constexpr Millis OPERATION_PAUSE{50};
constexpr Millis CLOSE_TIMEOUT{200};
constexpr Millis LEAST_ATTEMPT{300};
constexpr double SILENCE_SHARE = 0.9; ///< of the latency target; then a reused connection is doubted
constexpr double ATTEMPT_TARGETS = 4; ///< latency targets that one idempotent attempt may take
constexpr int WAITING_ROUND = 1; ///< from this round on, requests may wait at a gate
constexpr int MUST_SERVE_ROUND = 2; ///< from this round on, doubtful upstreams have to serve
constexpr int LAST_PROMPT_ROUND = 5; ///< after this round, a request is refused rather than held
constexpr int MOST_REMOTE_ASKS = 2; ///< of gates in other regions, before waiting at one
constexpr std::size_t LARGE_BODY_BYTES = 16 * KIB;
constexpr Millis LEAST_RETRY_AFTER{200};
constexpr Millis PATH_PATIENCE{150}; ///< for the first word of a gate, beyond the usual round trip
constexpr Millis REGION_ROUND_TRIP{30}; ///< to another region and back, with room for jitter
constexpr double ABANDON_FACTOR = 3; ///< usual service times after which an idempotent attempt is moved
constexpr Millis LEAST_ABANDON{350};
constexpr double ABANDON_TARGET_SHARE = 0.5; ///< of the latency target, before which no attempt is moved

/// Names the channel of an exchange while it lasts, so that it can be closed from outside.
class CurrentChannel
{
public:
    CurrentChannel(FrameChannel *&slot, FrameChannel &channel)
        : m_slot(slot)
    {
        m_slot = &channel;
    }
    ~CurrentChannel()
    {
        m_slot = nullptr;
    }
    CurrentChannel(const CurrentChannel &) = delete;
    CurrentChannel &operator=(const CurrentChannel &) = delete;

private:
    FrameChannel *&m_slot;
};

/// How long a gate may take for its first word.
Millis pathPatience(const UpstreamRef &ref)
{
    return ref.distance == Distance::OtherRegion ? PATH_PATIENCE + REGION_ROUND_TRIP : PATH_PATIENCE;
}

AttemptResult resultOf(const wire::AnswerT &answer)
{
    switch (answer.outcome) {
    case wire::Outcome::NotRun:
        return answer.reason == wire::NotRunReason::Unreachable ? AttemptResult::Failed : AttemptResult::Unjudged;
    case wire::Outcome::Unknown:
        return AttemptResult::Failed;
    case wire::Outcome::Ran:
        break;
    }
    return resultOfStatus(answer.status);
}

} // namespace

DispatchResult Dispatch::run(const Yield &yield)
{
    if (m_request.operation.empty()) {
        runFreely(yield);
    } else {
        runOperation(yield);
    }
    return std::move(m_result);
}

void Dispatch::runFreely(const Yield &yield)
{
    m_shared.table.retryBudget(m_request.service).onFirstAttempt();
    while (remaining() > Millis() && !m_left) {
        if (hasStopped()) {
            return settleStopped();
        }
        const UpstreamRef *chosen = chooseUpstream();
        if (!chosen) {
            if (endRound(yield)) {
                return;
            }
            continue;
        }
        const UpstreamRef ref = *chosen;
        m_tried.insert(ref.id);
        if (settle(attemptAt(ref, false, yield), ref)) {
            return;
        }
    }
    m_result.timedOut = true;
    if (m_maybeRan) {
        return settleUnknown("no answer came before the deadline");
    }
    settleNotRun(NotRunReason::Deadline, "no upstream could take the request before the deadline");
}

const UpstreamRef *Dispatch::chooseUpstream()
{
    const Millis now = m_shared.clock.now();
    if (!m_shared.table.placesByGates()) {
        return m_shared.table.choose(m_request.service, m_request.workClass, m_tried, now);
    }
    PlacementConstraints constraints;
    constraints.mayWait = m_round >= WAITING_ROUND;
    constraints.includeUntrusted = mustServe();
    constraints.allowOtherRegions = m_remoteAsks < (constraints.mayWait ? MOST_REMOTE_ASKS + 1 : MOST_REMOTE_ASKS);
    constraints.largeBody = m_request.source || m_request.body.size() >= LARGE_BODY_BYTES;
    const UpstreamRef *chosen = m_shared.table.place(m_request.service, m_request.workClass, m_tried, constraints, now);
    m_remoteAsks += chosen && chosen->distance == Distance::OtherRegion ? 1 : 0;
    return chosen;
}

bool Dispatch::endRound(const Yield &yield)
{
    m_result.held = true;
    const bool prompt = m_shared.refusal == RefusalPolicy::Prompt;
    if (prompt && isHopeless()) {
        refuse("no upstream can serve the request in the time that is left");
        return true;
    }
    // A request that has run somewhere goes to another upstream, or nowhere.
    m_tried = m_sentTo;
    ++m_round;
    if (m_round > WAITING_ROUND) {
        pause(HOLD_PAUSE * (m_round - WAITING_ROUND), yield);
    }
    return false;
}

bool Dispatch::isHopeless() const
{
    if (m_round < WAITING_ROUND) {
        return m_leastWait > waitingTime();
    }
    return m_round >= LAST_PROMPT_ROUND || waitingTime() <= Millis();
}

Millis Dispatch::waitingTime() const
{
    if (!m_shared.table.placesByGates()) {
        return remaining();
    }
    const Millis now = m_shared.clock.now();
    QueueWaitLimits limits;
    limits.latencyTarget = m_request.workClass.latencyTarget;
    limits.serviceTime = m_shared.table.typicalTime(m_request.service, m_request.workClass.name);
    limits.waited = now - m_startedAt;
    limits.timeLeft = remaining();
    limits.untilStop = m_shared.isStopping() ? *m_shared.stopAt - now : limits.timeLeft;
    limits.committed = m_request.inner || m_maybeRan;
    return maxQueueWait(limits);
}

bool Dispatch::mustServe() const
{
    // Not while an upstream that its gate trusts is merely full.
    const bool irreversible = m_request.workClass.kind == WorkKind::Irreversible;
    return m_round >= MUST_SERVE_ROUND && !sawBusy() && !(irreversible && m_shared.refusal == RefusalPolicy::Prompt);
}

void Dispatch::refuse(const std::string &detail)
{
    m_result.retryAfter = std::max(LEAST_RETRY_AFTER, m_leastWait);
    if (m_maybeRan) {
        return settleUnknown(detail);
    }
    settleNotRun(NotRunReason::Busy, detail);
}

bool Dispatch::isOver() const
{
    return m_left || hasStopped() || remaining() <= Millis();
}

bool Dispatch::hasStopped() const
{
    return m_shared.isStopping() && m_shared.clock.now() >= *m_shared.stopAt;
}

void Dispatch::settleStopped()
{
    m_result.retryAfter = LEAST_RETRY_AFTER;
    if (m_maybeRan) {
        return settleUnknown("the daemon stops, and the request may have run");
    }
    settleNotRun(NotRunReason::Leaving, "the daemon stops before the request could run");
}

void Dispatch::leave()
{
    m_left = true;
    interrupt();
}

void Dispatch::abortPending()
{
    interrupt();
}

void Dispatch::interrupt()
{
    if (m_current) {
        m_current->close();
    }
    if (m_pausing) {
        m_pausing->cancel();
    }
}

bool Dispatch::settle(Attempt attempt, const UpstreamRef &ref)
{
    const bool notRun = !attempt.failed && attempt.answer.outcome == wire::Outcome::NotRun;
    const bool untouched = attempt.failed && !attempt.reached;
    if (notRun || untouched) {
        logMove(attempt, ref);
        m_shared.metrics.addHandOver(m_request.service);
        if (notRun && attempt.answer.reason == wire::NotRunReason::Quarantined && !m_maybeRan) {
            m_result.answer = std::move(attempt.answer);
            return true;
        }
        if (m_bodyConsumed) {
            settleUnknown("the upstream did not run the request, whose body is used up");
            return true;
        }
        if (notRun && attempt.answer.reachedUpstream) {
            return !mayMoveOn();
        }
        return false;
    }
    m_result.upstream = ref.id;
    if (needsRetry(attempt) && mayRetry(attempt)) {
        logMove(attempt, ref);
        m_maybeRan = true;
        m_result.retried = true;
        m_result.channel.reset();
        m_shared.metrics.addRetry(m_request.service);
        return false;
    }
    if (attempt.failed) {
        settleFailed(attempt);
        return true;
    }
    m_result.distance = ref.distance;
    m_result.answer = std::move(attempt.answer);
    return true;
}

void Dispatch::settleFailed(const Attempt &attempt)
{
    m_maybeRan = true;
    if (hasStopped()) {
        return settleStopped();
    }
    if (remaining() <= Millis()) {
        m_result.timedOut = true;
        return settleUnknown("no answer came before the deadline");
    }
    settleUnknown("the connection to the gate failed while the request was there: " + attempt.cause);
}

void Dispatch::logMove(const Attempt &attempt, const UpstreamRef &ref) const
{
    logEvent(
        Event::RequestMoved,
        {{"request", m_request.id},
         {"upstream", ref.id},
         {"node", ref.node},
         {"round", m_round},
         {"reason",
          attempt.failed ? attempt.cause
                         : std::string(nameOf(NOT_RUN_REASON_NAMES, static_cast<NotRunReason>(attempt.answer.reason)))},
         {"waitMs", attempt.answer.waitMs},
         {"sent", attempt.reached},
         {"leftMs", remaining().value}});
}

bool Dispatch::mayMoveOn()
{
    const bool more =
        m_request.workClass.maxAttempts == 0 || static_cast<int>(m_sentTo.size()) < m_request.workClass.maxAttempts;
    if (more && m_shared.table.retryBudget(m_request.service).takeRetry()) {
        return true;
    }
    refuse("the upstream did not run the request, and no other may be tried");
    return false;
}

bool Dispatch::needsRetry(const Attempt &attempt) const
{
    if (attempt.failed || attempt.answer.outcome == wire::Outcome::Unknown) {
        return true;
    }
    return isServerError(attempt.answer.status);
}

bool Dispatch::mayRetry(const Attempt &attempt)
{
    // A request that crashed an upstream may crash the next one.
    if (attempt.answer.reason == wire::NotRunReason::Quarantined || isSuspect()) {
        return false;
    }
    if (m_request.workClass.kind == WorkKind::Irreversible || m_bodyConsumed || isOver()) {
        return false;
    }
    const int most = m_request.workClass.maxAttempts;
    if (most > 0 && static_cast<int>(m_sentTo.size()) >= most) {
        return false;
    }
    if (attempt.abandoned) {
        return true; // the budget has been asked already
    }
    return m_shared.table.retryBudget(m_request.service).takeRetry();
}

bool Dispatch::isSuspect() const
{
    return m_shared.quarantineStatus && m_shared.quarantineStatus(m_request.fingerprint) != QuarantineStatus::Clear;
}

void Dispatch::runOperation(const Yield &yield)
{
    const auto id = parseOperationId(m_request.operation);
    if (!id) {
        return settleNotRun(NotRunReason::Mismatch, "the operation id is malformed; open an operation first");
    }
    m_shared.table.retryBudget(m_request.service).onFirstAttempt();
    bool fresh = false;
    UpstreamRef gate;
    while (remaining() > Millis()) {
        const auto known = findGate(*m_shared.table.view(), id->gate);
        if (!known) {
            pause(OPERATION_PAUSE, yield);
            continue;
        }
        gate = *known;
        Attempt attempt = attemptAt(gate, fresh, yield);
        fresh = attempt.failed;
        m_maybeRan = m_maybeRan || (attempt.failed && attempt.reached);
        const bool wait = attempt.failed || attempt.answer.reason == wire::NotRunReason::Busy;
        if (!wait) {
            m_result.answer = std::move(attempt.answer);
            break;
        }
        if (m_bodyConsumed) {
            return settleUnknown("the connection to the gate failed while the request was there");
        }
        m_result.held = true;
        pause(OPERATION_PAUSE, yield);
    }
    const bool settled = m_result.answer.request != 0;
    const bool conclusive = settled
        && (m_result.answer.outcome != wire::Outcome::NotRun || m_result.answer.reason == wire::NotRunReason::Closed
            || m_result.answer.reason == wire::NotRunReason::Mismatch);
    if (conclusive) {
        return;
    }
    closeOperation(gate.gate, yield);
}

void Dispatch::closeOperation(const std::string &gate, const Yield &yield)
{
    const auto reason = m_result.answer.reason;
    const std::string detail = m_result.answer.detail;
    settleUnknown("the gate of the operation did not confirm that it has not run");
    if (gate.empty()) {
        return;
    }
    try {
        auto channel = m_shared.pool.connect(gate, CLOSE_TIMEOUT, yield);
        wire::CloseOperationT close;
        close.request = ++m_shared.nextRequest;
        close.operation = m_request.operation;
        close.organisation = m_request.organisation;
        const auto reply = channel->ask<wire::AnswerT>(std::move(close), CLOSE_TIMEOUT, yield);
        if (reply.outcome == wire::Outcome::NotRun) {
            settleNotRun(static_cast<NotRunReason>(reason), detail.empty() ? "closed at the deadline" : detail);
        }
        m_shared.pool.release(gate, std::move(channel));
    } catch (const std::exception &) {
        // The answer stays "unknown".
    }
}

Dispatch::Attempt Dispatch::attemptAt(const UpstreamRef &ref, bool freshChannel, const Yield &yield)
{
    Attempt attempt = attemptOnce(ref, freshChannel, yield);
    if (!attempt.silent) {
        return attempt;
    }
    // Something between the two ends may have lost track of the open connections; a new one tells.
    logEvent(Event::ConnectionSilent, {{"gate", ref.gate}});
    m_maybeRan = true;
    m_result.retried = true;
    m_shared.metrics.addRetry(m_request.service);
    return attemptOnce(ref, true, yield);
}

Dispatch::Attempt Dispatch::attemptOnce(const UpstreamRef &ref, bool freshChannel, const Yield &yield)
{
    Attempt attempt;
    ++m_result.asked;
    AttemptStart start;
    start.attempt = ++m_shared.nextRequest;
    start.upstream = ref.id;
    start.workClass = m_request.workClass.name;
    start.latencyTarget = m_request.workClass.latencyTarget;
    const Millis startedAt = m_shared.clock.now();
    const bool judged = !ref.id.empty();
    if (judged) {
        m_shared.table.onStart(m_request.service, start, startedAt);
    }
    attempt.answer.request = start.attempt;
    try {
        const Millis timeout(std::min(CONNECT_TIMEOUT.value, std::max(1.0, remaining().value)));
        std::unique_ptr<FrameChannel> channel;
        if (judged) {
            channel = openReserved(ref, attempt, yield);
        } else {
            channel = freshChannel ? m_shared.pool.connect(ref.gate, timeout, yield)
                                   : m_shared.pool.acquire(ref.gate, timeout, yield);
        }
        if (!judged || attempt.reserved) {
            const CurrentChannel current(m_current, *channel);
            exchange(ref, *channel, attempt, yield);
        }
        if (attempt.answer.streamed) {
            m_result.channel = std::move(channel);
        } else {
            m_shared.pool.release(ref.gate, std::move(channel));
        }
    } catch (const boost::system::system_error &error) {
        attempt.failed = true;
        attempt.cause = error.what();
        m_shared.pool.drop(ref.gate);
    } catch (const Exception &error) {
        attempt.failed = true;
        attempt.cause = error.what();
        m_shared.pool.drop(ref.gate);
    }
    if (judged && !m_left) {
        noteFinish(ref, start, attempt, startedAt);
    }
    return attempt;
}

std::unique_ptr<FrameChannel> Dispatch::openReserved(const UpstreamRef &ref, Attempt &attempt, const Yield &yield)
{
    if (auto channel = m_shared.pool.acquireIdle(ref.gate)) {
        try {
            attempt.reserved = reserveSlot(ref, *channel, attempt, yield);
            return channel;
        } catch (const boost::system::system_error &error) {
            // Asking has no effect: a kept connection that has gone silent or was closed is simply replaced.
            if (error.code() == beast::error::timeout) {
                logEvent(Event::ConnectionSilent, {{"gate", ref.gate}});
            }
            m_shared.pool.drop(ref.gate);
        }
    }
    if (isOver()) {
        throw boost::system::system_error(asio::error::operation_aborted);
    }
    auto channel = m_shared.pool.connect(ref.gate, pathPatience(ref), yield);
    attempt.reserved = reserveSlot(ref, *channel, attempt, yield);
    return channel;
}

bool Dispatch::reserveSlot(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt, const Yield &yield)
{
    const CurrentChannel current(m_current, channel);
    const std::uint64_t number = attempt.answer.request;
    channel.send(packMessage(reservation(ref, number)), SEND_TIMEOUT, yield);
    Millis patience = pathPatience(ref);
    while (true) {
        wire::FrameT frame = channel.receive(patience, yield);
        if (auto *denial = frame.body.AsAnswer()) {
            if (denial->request != number) {
                rejectFrame(frame);
            }
            noteDenial(*denial);
            attempt.answer = std::move(*denial);
            return false;
        }
        const auto *turn = frame.body.AsTurn();
        if (!turn || turn->request != number) {
            rejectFrame(frame);
        }
        if (turn->state == wire::TurnState::Granted) {
            return true;
        }
        patience = Millis(std::max(1.0, remaining().value));
    }
}

void Dispatch::noteDenial(const wire::AnswerT &denial)
{
    if (denial.reason == wire::NotRunReason::Busy) {
        const Millis wait(denial.waitMs);
        m_leastWait = m_leastWait < Millis() ? wait : std::min(m_leastWait, wait);
    }
}

wire::ReserveT Dispatch::reservation(const UpstreamRef &ref, std::uint64_t number) const
{
    wire::ReserveT reserve;
    reserve.request = number;
    reserve.service = m_request.service;
    reserve.upstream = ref.id;
    reserve.workClass = m_request.workClass.name;
    reserve.kind = static_cast<wire::WorkKind>(m_request.workClass.kind);
    reserve.rank = static_cast<std::uint8_t>(m_request.inner ? INNER_CALL_RANK
                                                             : INNER_CALL_RANK + 1 + m_request.workClass.priority);
    reserve.deadlineMs = std::max(0.0, waitingTime().value);
    reserve.fingerprint = m_request.fingerprint;
    const Millis now = m_shared.clock.now();
    const PeerBaseline peerBaseline = m_shared.table.peerBaseline(m_request.service, ref.id, m_request.workClass, now);
    reserve.badAboveMs = peerBaseline.slowThreshold.value;
    reserve.peerBadShare = peerBaseline.peerBadShare;
    reserve.mayWait = m_round >= WAITING_ROUND || m_shared.refusal == RefusalPolicy::Director;
    const int most = m_request.workClass.maxAttempts;
    reserve.mayTry = m_request.workClass.kind == WorkKind::Idempotent && !m_request.source && !m_maybeRan
        && (most == 0 || static_cast<int>(m_sentTo.size()) + 1 < most)
        && m_shared.table.retryBudget(m_request.service).hasRetry();
    reserve.mustServe = mustServe() || m_shared.table.mustServe(m_request.service, ref.id, m_request.workClass.name);
    return reserve;
}

Millis Dispatch::abandonAfter(const UpstreamRef &ref) const
{
    const Millis typical = m_shared.table.typicalTime(m_request.service, m_request.workClass.name);
    const Millis target = m_request.workClass.latencyTarget;
    // The first few answers of a class tell little of what is usual.
    const Millis least = std::max(LEAST_ABANDON, target * (typical > Millis() ? ABANDON_TARGET_SHARE : 1));
    return std::max(least, typical * ABANDON_FACTOR) + pathPatience(ref);
}

void Dispatch::exchange(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt, const Yield &yield)
{
    const bool crosses = ref.distance == Distance::OtherRegion;
    const RegionBytes count(m_shared.metrics, m_request.organisation, channel, crosses);
    const std::uint64_t number = attempt.answer.request;
    const std::string bytes = packMessage(message(ref, number));
    attempt.reached = true;
    m_sentTo.insert(ref.id);
    channel.send(bytes, SEND_TIMEOUT, yield);
    if (m_request.source) {
        sendStream(channel, number, attempt, yield);
        if (attempt.answer.digest != 0) {
            return;
        }
    }
    auto answer = receiveAnswer(ref, channel, attempt, yield);
    if (!answer.streamed && bodyDigest(answer.body) != answer.digest) {
        throw BadFrame("an answer's body does not match its digest: check the link between the daemons");
    }
    attempt.answer = std::move(answer);
}

wire::AnswerT Dispatch::receiveAnswer(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt,
                                      const Yield &yield)
{
    const std::uint64_t number = attempt.answer.request;
    if (!mayMove(channel, attempt)) {
        return channel.receiveFor<wire::AnswerT>(number, attemptTimeout(), yield);
    }
    const Millis limit = attempt.reserved ? abandonAfter(ref) : m_request.workClass.latencyTarget * SILENCE_SHARE;
    const SilenceWatch watch(m_shared.context, limit, [this, &channel, &attempt] {
        // In a planned stop, an upstream that is at work is not given up: another may not be found in time.
        const bool moves =
            !isSuspect() && !m_shared.isStopping() && m_shared.table.retryBudget(m_request.service).takeRetry();
        attempt.silent = moves && !attempt.reserved;
        attempt.abandoned = moves && attempt.reserved;
        if (moves) {
            channel.close();
        }
    });
    return channel.receiveFor<wire::AnswerT>(number, attemptTimeout(), yield);
}

bool Dispatch::mayMove(const FrameChannel &channel, const Attempt &attempt) const
{
    const bool irreversible = m_request.workClass.kind == WorkKind::Irreversible;
    if (attempt.reserved) {
        const int most = m_request.workClass.maxAttempts;
        return m_shared.movesSlow && !irreversible && !m_request.source
            && (most == 0 || static_cast<int>(m_sentTo.size()) < most);
    }
    const bool repeatable = !irreversible || !m_request.operation.empty();
    return channel.isReused() && repeatable && !m_request.source;
}

void Dispatch::sendStream(FrameChannel &channel, std::uint64_t number, Attempt &attempt, const Yield &yield)
{
    wire::FrameT first = channel.receive(attemptTimeout(), yield);
    if (auto *answer = first.body.AsAnswer()) {
        if (answer->request != number) {
            rejectFrame(first);
        }
        attempt.answer = std::move(*answer);
        return;
    }
    if (!first.body.AsProceed() || first.body.AsProceed()->request != number) {
        rejectFrame(first);
    }
    m_bodyConsumed = true;
    StreamDigest digest;
    std::vector<std::uint8_t> piece = m_request.body;
    for (bool more = true; more;) {
        if (piece.empty()) {
            more = m_request.source->next(piece, yield);
        }
        digest.add(piece.data(), piece.size());
        wire::BodyChunkT chunk;
        chunk.request = number;
        chunk.last = !more;
        chunk.digest = digest.value();
        chunk.body = std::move(piece);
        piece.clear();
        channel.send(packMessage(std::move(chunk)), SEND_TIMEOUT, yield);
    }
}

void Dispatch::noteFinish(const UpstreamRef &ref, const AttemptStart &start, const Attempt &attempt, Millis startedAt)
{
    const Millis now = m_shared.clock.now();
    const Millis elapsed = now - startedAt;
    AttemptResult result = AttemptResult::PathFailed;
    Millis serviceTime = elapsed;
    if (!attempt.failed) {
        result = resultOf(attempt.answer);
        serviceTime = Millis(attempt.answer.upstreamMs);
    } else if (attempt.reached) {
        result = m_request.source || attempt.silent ? AttemptResult::Unjudged : AttemptResult::TimedOut;
    }
    if (!attempt.reached && !attempt.failed) {
        result = AttemptResult::Unjudged;
    }
    const Millis network = elapsed - serviceTime - Millis(attempt.answer.queuedMs);
    m_shared.table.onFinish(m_request.service, start, result, serviceTime, network, now);
    if (attempt.answer.reason == wire::NotRunReason::Suspect) {
        m_shared.table.onGateSuspicion(m_request.service, ref.id, start.workClass, now);
    }
    if (attempt.answer.load) {
        const double requests = attempt.answer.load->inFlight + attempt.answer.load->queued;
        m_shared.table.onLoad(m_request.service, ref.id, start.workClass,
                              {requests, now, Millis(attempt.answer.load->typicalMs)});
    }
}

wire::ProxyRequestT Dispatch::message(const UpstreamRef &ref, std::uint64_t number) const
{
    wire::ProxyRequestT message;
    message.request = number;
    message.service = m_request.service;
    message.upstream = ref.id;
    message.workClass = m_request.workClass.name;
    message.kind = static_cast<wire::WorkKind>(m_request.workClass.kind);
    message.organisation = m_request.organisation;
    message.operation = m_request.operation;
    message.method = m_request.method;
    message.target = m_request.target;
    for (const auto &header : m_request.headers) {
        message.headers.push_back(std::make_unique<wire::HeaderT>(*header));
    }
    message.deadlineMs = std::max(0.0, remaining().value);
    const Millis now = m_shared.clock.now();
    const PeerBaseline peerBaseline = m_shared.table.peerBaseline(m_request.service, ref.id, m_request.workClass, now);
    message.badAboveMs = peerBaseline.slowThreshold.value;
    message.peerBadShare = peerBaseline.peerBadShare;
    // Only its own gate can run an operation; opening one steers clear of suspects already.
    message.mustServe =
        !m_request.operation.empty() || m_shared.table.mustServe(m_request.service, ref.id, m_request.workClass.name);
    message.streamed = m_request.source != nullptr;
    message.bodyBytes = m_request.bodyBytes;
    if (!message.streamed) {
        message.body = m_request.body;
        message.digest = bodyDigest(message.body);
    }
    return message;
}

void Dispatch::pause(Millis time, const Yield &yield)
{
    asio::steady_timer timer(m_shared.context, toDuration(Millis(std::min(time.value, remaining().value))));
    m_pausing = &timer;
    ErrorCode ignored;
    timer.async_wait(yield[ignored]);
    m_pausing = nullptr;
}

void Dispatch::settleNotRun(NotRunReason reason, const std::string &detail)
{
    wire::AnswerT answer;
    answer.outcome = wire::Outcome::NotRun;
    answer.reason = static_cast<wire::NotRunReason>(reason);
    answer.detail = detail;
    m_result.answer = std::move(answer);
}

void Dispatch::settleUnknown(const std::string &detail)
{
    wire::AnswerT answer;
    answer.outcome = wire::Outcome::Unknown;
    answer.detail = detail;
    m_result.answer = std::move(answer);
}

Millis Dispatch::remaining() const
{
    return m_request.deadline - m_shared.clock.now();
}

Millis Dispatch::attemptTimeout() const
{
    const double left = std::max(1.0, remaining().value);
    const bool oneTry = m_request.workClass.kind == WorkKind::Irreversible && m_request.operation.empty();
    if (oneTry || m_request.source || m_shared.refusal == RefusalPolicy::Prompt) {
        return Millis(left);
    }
    const double patience = std::max(LEAST_ATTEMPT.value, m_request.workClass.latencyTarget.value * ATTEMPT_TARGETS);
    return Millis(std::min(left, patience));
}

} // namespace mustardpond
