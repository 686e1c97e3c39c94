#include "dispatch.h"

#include "answerwatch.h"
#include "bodydigest.h"
#include "httprules.h"
#include "regionbytecounter.h"
#include "silencewatch.h"
#include "slotshare.h"

#include "decision/slotqueue.h"
#include "decision/slowrun.h"
#include "decision/waitlimit.h"

#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr Millis CONNECT_TIMEOUT{500};
constexpr Millis SEND_TIMEOUT{5000};
constexpr Millis ROUND_BACKOFF{10}; ///< added to the pause with each round
constexpr Millis OPERATION_RETRY_INTERVAL{50};
constexpr Millis CLOSE_TIMEOUT{200};
constexpr Millis MIN_ATTEMPT_TIMEOUT{300};
constexpr double SILENCE_TARGET_RATIO = 0.9; ///< of the latency target, until a reused connection counts as silent
constexpr double ATTEMPT_TARGET_RATIO = 4; ///< of the latency target, as timeout of an attempt that may be repeated
constexpr int FIRST_WAITING_ROUND = 1; ///< from this round on, requests may wait for a slot at a gate
constexpr int FIRST_MUST_SERVE_ROUND = 2; ///< from this round on, upstreams that their gates do not trust must serve
constexpr int PROMPT_REFUSAL_ROUND = 5; ///< with prompt refusal, a request is refused after this round at the latest
constexpr int MAX_REMOTE_GATES = 2; ///< gates in other regions that are contacted before the request may wait at one
constexpr std::size_t LARGE_BODY_BYTES = 16 * KIB;
constexpr std::size_t STREAM_PIECE_BYTES = 64 * KIB;
constexpr Millis MIN_RETRY_AFTER{200};
constexpr Millis GATE_RESPONSE_TIMEOUT{150}; ///< to connect or for the first frame, beyond the usual round trip
constexpr Millis OTHER_REGION_ROUND_TRIP{30}; ///< to another region and back, with a margin for jitter

/// Points to the channel in use during the lifetime of this guard, so that interrupt() can close it.
class CurrentChannelGuard
{
public:
    CurrentChannelGuard(FrameChannel *&pointer, FrameChannel &channel)
        : m_pointer(pointer)
    {
        m_pointer = &channel;
    }
    ~CurrentChannelGuard()
    {
        m_pointer = nullptr;
    }
    CurrentChannelGuard(const CurrentChannelGuard &) = delete;
    CurrentChannelGuard &operator=(const CurrentChannelGuard &) = delete;

private:
    FrameChannel *&m_pointer;
};

/// Returns the timeout for connecting to a gate and for its first frame.
Millis gateResponseTimeout(const UpstreamRef &ref)
{
    return ref.distance == Distance::OtherRegion ? GATE_RESPONSE_TIMEOUT + OTHER_REGION_ROUND_TRIP
                                                 : GATE_RESPONSE_TIMEOUT;
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
        runWithoutOperation(yield);
    } else {
        runOperation(yield);
    }
    endSlowRun();
    return std::move(m_result);
}

void Dispatch::runWithoutOperation(const Yield &yield)
{
    m_shared.table.retryBudget(m_request.service).onFirstAttempt();
    while (remaining() > Millis() && !m_callerLeft) {
        if (isPastStopDeadline()) {
            return finishStopped();
        }
        const UpstreamRef *chosen = isSearchOver() ? nullptr : chooseUpstream();
        if (!chosen && m_slowRun && (isSearchOver() || isUnservable())) {
            const UpstreamRef slow = m_slowRun->ref;
            if (evaluateAttempt(resumeSlowRun(yield), slow)) {
                return;
            }
            continue;
        }
        if (!chosen) {
            if (endRound(yield)) {
                return;
            }
            continue;
        }
        const UpstreamRef ref = *chosen;
        m_tried.insert(ref.id);
        if (evaluateAttempt(attemptAt(ref, false, yield), ref)) {
            return;
        }
    }
    m_result.timedOut = true;
    if (mayHaveRun()) {
        return finishUnknown("no answer came before the deadline");
    }
    finishNotRun(NotRunReason::Deadline, "no upstream could take the request before the deadline");
}

const UpstreamRef *Dispatch::chooseUpstream()
{
    const Millis now = m_shared.clock.now();
    if (!m_shared.table.usesGateDetection()) {
        return m_shared.table.choose(m_request.service, m_request.workClass, m_tried, now);
    }
    PlacementConstraints constraints;
    constraints.mayWait = m_round >= FIRST_WAITING_ROUND;
    constraints.includeUntrusted = mustServe();
    constraints.allowOtherRegions =
        m_remoteGatesAsked < (constraints.mayWait ? MAX_REMOTE_GATES + 1 : MAX_REMOTE_GATES);
    const double answerBytes = m_shared.table.classAnswerBytes(m_request.service, m_request.workClass.name);
    constraints.largeBody = m_request.source || m_request.body.size() + answerBytes >= LARGE_BODY_BYTES;
    constraints.organisation = shareName(m_request.authenticated.get());
    const UpstreamRef *chosen = m_shared.table.place(m_request.service, m_request.workClass, m_tried, constraints, now);
    m_remoteGatesAsked += chosen && chosen->distance == Distance::OtherRegion ? 1 : 0;
    return chosen;
}

bool Dispatch::endRound(const Yield &yield)
{
    m_result.held = true;
    const bool prompt = m_shared.refusal == RefusalPolicy::Prompt;
    if (prompt && isUnservable()) {
        refuse("no upstream can serve the request in the remaining time");
        return true;
    }
    // A request is sent to each upstream at most once, also across rounds.
    m_tried = m_sentTo;
    ++m_round;
    if (m_round > FIRST_WAITING_ROUND) {
        pause(ROUND_BACKOFF * (m_round - FIRST_WAITING_ROUND), yield);
    }
    return false;
}

bool Dispatch::isUnservable() const
{
    if (m_round < FIRST_WAITING_ROUND) {
        return m_minWaitEstimate > maxSlotWait();
    }
    return m_round >= PROMPT_REFUSAL_ROUND || maxSlotWait() <= Millis();
}

Millis Dispatch::maxSlotWait() const
{
    if (!m_shared.table.usesGateDetection()) {
        return remaining();
    }
    const Millis now = m_shared.clock.now();
    QueueWaitLimits limits;
    limits.latencyTarget = m_request.workClass.latencyTarget;
    limits.serviceTime = m_shared.table.classServiceTime(m_request.service, m_request.workClass.name);
    limits.waited = now - m_startedAt;
    limits.timeLeft = remaining();
    limits.untilStop = m_shared.isStopping() ? *m_shared.stopAt - now : limits.timeLeft;
    limits.committed = m_request.inner || mayHaveRun();
    return maxQueueWait(limits);
}

bool Dispatch::mustServe() const
{
    // Upstreams that their gates do not trust are not needed while trusted ones are merely full.
    const bool irreversible = m_request.workClass.kind == WorkKind::Irreversible;
    return m_round >= FIRST_MUST_SERVE_ROUND && !sawBusyGate()
        && !(irreversible && m_shared.refusal == RefusalPolicy::Prompt);
}

void Dispatch::refuse(const std::string &detail)
{
    m_result.retryAfter = std::max(MIN_RETRY_AFTER, m_minWaitEstimate);
    if (mayHaveRun()) {
        return finishUnknown(detail);
    }
    finishNotRun(NotRunReason::Busy, detail);
}

bool Dispatch::isCancelledOrExpired() const
{
    return m_callerLeft || isPastStopDeadline() || remaining() <= Millis();
}

bool Dispatch::isPastStopDeadline() const
{
    return m_shared.isStopping() && m_shared.clock.now() >= *m_shared.stopAt;
}

void Dispatch::finishStopped()
{
    m_result.retryAfter = MIN_RETRY_AFTER;
    if (mayHaveRun()) {
        return finishUnknown("the daemon is stopping, and the request may have run");
    }
    finishNotRun(NotRunReason::Leaving, "the daemon is stopping, and the request has not run");
}

void Dispatch::leave()
{
    m_callerLeft = true;
    interrupt();
}

void Dispatch::abortPending()
{
    interrupt();
}

void Dispatch::interrupt()
{
    if (m_currentChannel) {
        m_currentChannel->close();
    }
    if (m_pauseTimer) {
        m_pauseTimer->cancel();
    }
}

bool Dispatch::evaluateAttempt(Attempt attempt, const UpstreamRef &ref)
{
    if (attempt.slow) {
        m_tried = m_sentTo;
        return false;
    }
    const bool notRun = !attempt.failed && attempt.answer.outcome == wire::Outcome::NotRun;
    const bool notSent = attempt.failed && !attempt.sent;
    if (notRun || notSent) {
        logMove(attempt, ref);
        m_shared.metrics.addHandOver(m_request.service);
        if (notRun && attempt.answer.reason == wire::NotRunReason::Quarantined && !mayHaveRun()) {
            m_result.answer = std::move(attempt.answer);
            return true;
        }
        if (m_bodyConsumed) {
            finishUnknown("the upstream did not run the request, whose streamed body cannot be sent again");
            return true;
        }
        if (notRun && attempt.answer.reachedUpstream) {
            return !mayTryAnotherUpstream();
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
        finishFailed(attempt);
        return true;
    }
    m_result.distance = ref.distance;
    m_result.answer = std::move(attempt.answer);
    return true;
}

void Dispatch::finishFailed(const Attempt &attempt)
{
    m_maybeRan = true;
    if (isPastStopDeadline()) {
        return finishStopped();
    }
    if (remaining() <= Millis()) {
        m_result.timedOut = true;
        return finishUnknown("no answer came before the deadline");
    }
    finishUnknown("the connection to the gate failed before an answer was received: " + attempt.cause);
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
         {"sent", attempt.sent},
         {"leftMs", remaining().value}});
}

bool Dispatch::mayTryAnotherUpstream()
{
    const bool more =
        m_request.workClass.maxAttempts == 0 || static_cast<int>(m_sentTo.size()) < m_request.workClass.maxAttempts;
    if (more && m_shared.table.retryBudget(m_request.service).tryConsumeRetry()) {
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
    if (attempt.answer.reason == wire::NotRunReason::Quarantined || isCrashSuspect()) {
        return false;
    }
    if (m_request.workClass.kind == WorkKind::Irreversible || m_bodyConsumed || isCancelledOrExpired()) {
        return false;
    }
    const int maxAttempts = m_request.workClass.maxAttempts;
    if (maxAttempts > 0 && static_cast<int>(m_sentTo.size()) >= maxAttempts) {
        return false;
    }
    return m_shared.table.retryBudget(m_request.service).tryConsumeRetry();
}

bool Dispatch::isCrashSuspect() const
{
    return m_shared.quarantineStatus && m_shared.quarantineStatus(m_request.fingerprint) != QuarantineStatus::Clear;
}

void Dispatch::runOperation(const Yield &yield)
{
    const auto id = parseOperationId(m_request.operation);
    if (!id) {
        return finishNotRun(NotRunReason::Mismatch, "the operation id is malformed; open an operation first");
    }
    m_shared.table.retryBudget(m_request.service).onFirstAttempt();
    bool freshChannel = false;
    UpstreamRef gate;
    while (remaining() > Millis()) {
        const auto found = findGate(*m_shared.table.view(), id->gate);
        if (!found) {
            pause(OPERATION_RETRY_INTERVAL, yield);
            continue;
        }
        gate = *found;
        Attempt attempt = attemptAt(gate, freshChannel, yield);
        freshChannel = attempt.failed;
        m_maybeRan = m_maybeRan || (attempt.failed && attempt.sent);
        const bool wait = attempt.failed || attempt.answer.reason == wire::NotRunReason::Busy;
        if (!wait) {
            m_result.answer = std::move(attempt.answer);
            break;
        }
        if (m_bodyConsumed) {
            return finishUnknown("the connection to the gate failed before an answer was received");
        }
        m_result.held = true;
        pause(OPERATION_RETRY_INTERVAL, yield);
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
    finishUnknown("the gate of the operation did not confirm that the request has not run");
    if (gate.empty()) {
        return;
    }
    try {
        auto channel = m_shared.pool.connect(gate, CLOSE_TIMEOUT, yield);
        wire::CloseOperationT close;
        close.request = ++m_shared.lastRequestNumber;
        close.operation = m_request.operation;
        close.organisation = m_request.organisation;
        const auto reply = channel->ask<wire::AnswerT>(std::move(close), CLOSE_TIMEOUT, yield);
        if (reply.outcome == wire::Outcome::NotRun) {
            finishNotRun(static_cast<NotRunReason>(reason),
                         detail.empty() ? "the operation was closed at the deadline" : detail);
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
    // A device on the path may have dropped the state of open connections; a new connection shows whether it is so.
    logEvent(Event::ConnectionSilent, {{"gate", ref.gate}});
    m_maybeRan = true;
    m_result.retried = true;
    m_shared.metrics.addRetry(m_request.service);
    return attemptOnce(ref, true, yield);
}

Dispatch::Attempt Dispatch::attemptOnce(const UpstreamRef &ref, bool freshChannel, const Yield &yield)
{
    Run run;
    run.ref = ref;
    ++m_result.gatesAsked;
    run.start.attempt = ++m_shared.lastRequestNumber;
    run.start.upstream = ref.id;
    run.start.workClass = m_request.workClass.name;
    run.start.latencyTarget = m_request.workClass.latencyTarget;
    run.start.organisation = shareName(m_request.authenticated.get());
    run.startedAt = m_shared.clock.now();
    const bool hasUpstream = !ref.id.empty();
    if (hasUpstream) {
        m_shared.table.onStart(m_request.service, run.start, run.startedAt);
    }
    run.attempt.answer.request = run.start.attempt;
    runStep(run, [&] {
        const Millis timeout(std::min(CONNECT_TIMEOUT.value, std::max(1.0, remaining().value)));
        if (hasUpstream) {
            run.channel = openAndReserve(ref, run.attempt, yield);
        } else {
            run.channel = freshChannel ? m_shared.pool.connect(ref.gate, timeout, yield)
                                       : m_shared.pool.acquire(ref.gate, timeout, yield);
        }
        if (run.attempt.reserved && m_slowRun && !replaceSlowRun()) {
            run.attempt.withdrawn = true;
            run.channel->close(); // the gate frees the slot
            throw boost::system::system_error(asio::error::operation_aborted);
        }
        if (!hasUpstream || run.attempt.reserved) {
            exchange(run, yield);
        }
    });
    return finishRun(std::move(run));
}

void Dispatch::runStep(Run &run, const std::function<void()> &step)
{
    Attempt &attempt = run.attempt;
    try {
        step();
        if (attempt.slow) {
            return;
        }
        settleSentRun(run);
        if (attempt.answer.streamed) {
            m_result.channel = std::move(run.channel);
        } else {
            m_shared.pool.release(run.ref.gate, std::move(run.channel));
        }
        return;
    } catch (const boost::system::system_error &error) {
        attempt.cause = error.what();
    } catch (const Exception &error) {
        attempt.cause = error.what();
    }
    attempt.failed = true;
    attempt.withdrawn = attempt.withdrawn || (!attempt.sent && isSearchOver());
    if (!attempt.withdrawn) {
        m_shared.pool.drop(run.ref.gate);
    }
    const bool closedHere = attempt.withdrawn || attempt.silent || isCancelledOrExpired();
    if (attempt.sent && !closedHere && m_shared.runReporter) {
        m_shared.runReporter->onConnectionLost(run.ref.gate);
    }
}

void Dispatch::settleSentRun(Run &run)
{
    if (run.attempt.answer.streamed) {
        m_result.streamedRun = std::move(run.sentRun);
    } else if (run.attempt.answer.outcome != wire::Outcome::Unknown) {
        run.sentRun.finish();
    }
}

Dispatch::Attempt Dispatch::finishRun(Run run)
{
    if (run.attempt.slow) {
        m_slowRun = std::make_unique<Run>(std::move(run));
        Attempt attempt;
        attempt.slow = true;
        return attempt;
    }
    if (!run.ref.id.empty() && m_callerLeft) {
        m_shared.table.onAbandoned(m_request.service, run.start);
    } else if (!run.ref.id.empty()) {
        reportAttempt(run.ref, run.start, run.attempt, run.startedAt);
    }
    return std::move(run.attempt);
}

bool Dispatch::mayReplace(const Run &run) const
{
    SlowRunState state;
    state.answerBegins = run.answerBegins;
    state.stopping = m_shared.isStopping();
    state.hasRetry = m_shared.table.retryBudget(m_request.service).hasRetry();
    state.crashSuspect = isCrashSuspect();
    return mayReplaceSlowRun(state);
}

bool Dispatch::replaceSlowRun()
{
    if (isSearchOver() || !m_shared.table.retryBudget(m_request.service).tryConsumeRetry()) {
        return false;
    }
    m_slowRun->attempt.failed = true;
    m_slowRun->attempt.cause = "slower than usual";
    logMove(m_slowRun->attempt, m_slowRun->ref);
    endSlowRun();
    m_maybeRan = true;
    m_result.retried = true;
    m_shared.metrics.addRetry(m_request.service);
    return true;
}

Dispatch::Attempt Dispatch::resumeSlowRun(const Yield &yield)
{
    Run run = std::move(*m_slowRun);
    m_slowRun.reset();
    run.attempt.slow = false;
    runStep(run, [&] {
        const CurrentChannelGuard guard(m_currentChannel, *run.channel);
        const bool crossesRegions = run.ref.distance == Distance::OtherRegion;
        const RegionByteCounter counter(m_shared.metrics, m_request.organisation, *run.channel, crossesRegions);
        receiveAnswer(run, yield);
    });
    return finishRun(std::move(run));
}

void Dispatch::endSlowRun()
{
    if (!m_slowRun) {
        return;
    }
    m_slowRun->channel->close();
    m_slowRun->attempt.slow = false;
    m_slowRun->attempt.failed = true;
    finishRun(std::move(*m_slowRun));
    m_slowRun.reset();
}

std::unique_ptr<FrameChannel> Dispatch::openAndReserve(const UpstreamRef &ref, Attempt &attempt, const Yield &yield)
{
    if (auto channel = m_shared.pool.acquireIdle(ref.gate)) {
        try {
            attempt.reserved = reserveSlot(ref, *channel, attempt, yield);
            return channel;
        } catch (const boost::system::system_error &error) {
            if (isSearchOver()) {
                throw;
            }
            // A reservation has no effect on the upstream, so it can be repeated when an idle connection has gone
            // silent or was closed.
            if (error.code() == beast::error::timeout) {
                logEvent(Event::ConnectionSilent, {{"gate", ref.gate}});
            }
            m_shared.pool.drop(ref.gate);
        }
    }
    if (isCancelledOrExpired() || isSearchOver()) {
        throw boost::system::system_error(asio::error::operation_aborted);
    }
    auto channel = m_shared.pool.connect(ref.gate, gateResponseTimeout(ref), yield);
    attempt.reserved = reserveSlot(ref, *channel, attempt, yield);
    return channel;
}

bool Dispatch::reserveSlot(const UpstreamRef &ref, FrameChannel &channel, Attempt &attempt, const Yield &yield)
{
    const CurrentChannelGuard guard(m_currentChannel, channel);
    const AnswerWatch watch(m_slowRun ? m_slowRun->channel.get() : nullptr, [this, &channel] {
        m_slowRun->answerBegins = true;
        channel.close();
    });
    const std::uint64_t number = attempt.answer.request;
    channel.send(packMessage(reservation(ref, number)), SEND_TIMEOUT, yield);
    Millis timeout = gateResponseTimeout(ref);
    while (true) {
        wire::FrameT frame = channel.receive(timeout, yield);
        if (auto *denial = frame.body.AsAnswer()) {
            if (denial->request != number) {
                rejectFrame(frame);
            }
            recordDenial(*denial);
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
        timeout = Millis(std::max(1.0, remaining().value));
    }
}

void Dispatch::recordDenial(const wire::AnswerT &denial)
{
    if (denial.reason == wire::NotRunReason::Busy) {
        const Millis wait(denial.waitMs);
        m_minWaitEstimate = m_minWaitEstimate < Millis() ? wait : std::min(m_minWaitEstimate, wait);
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
    reserve.deadlineMs = std::max(0.0, maxSlotWait().value);
    reserve.fingerprint = m_request.fingerprint;
    setSlotShare(m_request.inner ? nullptr : m_request.authenticated.get(), reserve);
    const Millis now = m_shared.clock.now();
    const PeerBaseline peerBaseline = m_shared.table.peerBaseline(m_request.service, ref.id, m_request.workClass, now);
    reserve.badAboveMs = peerBaseline.slowThreshold.value;
    reserve.peerBadShare = peerBaseline.peerBadShare;
    reserve.mayWait = m_round >= FIRST_WAITING_ROUND || m_shared.refusal == RefusalPolicy::Director;
    const int maxAttempts = m_request.workClass.maxAttempts;
    reserve.mayTry = m_request.workClass.kind == WorkKind::Idempotent && !m_request.source && !m_maybeRan
        && (maxAttempts == 0 || static_cast<int>(m_sentTo.size()) + 1 < maxAttempts)
        && m_shared.table.retryBudget(m_request.service).hasRetry();
    reserve.mustServe = mustServe() || m_shared.table.mustServe(m_request.service, ref.id, m_request.workClass.name);
    reserve.streamed = m_request.source != nullptr;
    return reserve;
}

Millis Dispatch::slowTimeout(const UpstreamRef &ref) const
{
    const Millis serviceTime = m_shared.table.classServiceTime(m_request.service, m_request.workClass.name);
    return slowRunTimeout({m_request.workClass.latencyTarget, serviceTime, gateResponseTimeout(ref)});
}

void Dispatch::exchange(Run &run, const Yield &yield)
{
    FrameChannel &channel = *run.channel;
    const CurrentChannelGuard guard(m_currentChannel, channel);
    const bool crossesRegions = run.ref.distance == Distance::OtherRegion;
    const RegionByteCounter counter(m_shared.metrics, m_request.organisation, channel, crossesRegions);
    const std::uint64_t number = run.start.attempt;
    run.attempt.sent = true;
    m_sentTo.insert(run.ref.id);
    if (m_shared.runReporter) {
        const RunPlace place{run.ref.gate, run.ref.incarnation, {run.ref.id, run.ref.born}};
        run.sentRun = m_shared.runReporter->runs().begin(place, m_request.id, m_request.deadline);
    }
    channel.send(packMessage(message(run.ref, number)), SEND_TIMEOUT, yield);
    if (m_request.source) {
        sendStream(channel, number, run.attempt, yield);
        if (run.attempt.answer.digest != 0) {
            return;
        }
    }
    receiveAnswer(run, yield);
    if (run.attempt.bodyCut && !run.attempt.answer.streamed) {
        channel.close(); // the gate still expects the rest of the body
    }
}

void Dispatch::receiveAnswer(Run &run, const Yield &yield)
{
    Attempt &attempt = run.attempt;
    FrameChannel &channel = *run.channel;
    std::optional<SilenceWatch> watch;
    if (isReplaceable(attempt)) {
        const Millis limit = slowTimeout(run.ref);
        while (limit < attemptTimeout() && !run.answerBegins && !waitForAnswer(channel, limit, yield)) {
            if (mayReplace(run)) {
                attempt.slow = true;
                return;
            }
        }
    } else if (!attempt.reserved && mayBeSilent(channel)) {
        const Millis limit = m_request.workClass.latencyTarget * SILENCE_TARGET_RATIO;
        watch.emplace(m_shared.context, limit, [this, &channel, &attempt] {
            attempt.silent = !isCrashSuspect() && !m_shared.isStopping()
                && m_shared.table.retryBudget(m_request.service).tryConsumeRetry();
            if (attempt.silent) {
                channel.close();
            }
        });
    }
    auto answer = channel.receiveFor<wire::AnswerT>(run.start.attempt, attemptTimeout(), yield);
    if (!answer.streamed && bodyDigest(answer.body) != answer.digest) {
        throw BadFrame("an answer's body does not match its digest: check the link between the daemons");
    }
    attempt.answer = std::move(answer);
}

bool Dispatch::waitForAnswer(FrameChannel &channel, Millis timeout, const Yield &yield)
{
    bool timedOut = false;
    const SilenceWatch watch(m_shared.context, timeout, [&channel, &timedOut] {
        timedOut = true;
        ErrorCode ignored;
        channel.socket().cancel(ignored);
    });
    ErrorCode ignored;
    channel.socket().async_wait(tcp::socket::wait_read, yield[ignored]);
    return !timedOut;
}

bool Dispatch::isReplaceable(const Attempt &attempt) const
{
    const bool irreversible = m_request.workClass.kind == WorkKind::Irreversible;
    const int maxAttempts = m_request.workClass.maxAttempts;
    return attempt.reserved && m_shared.moveSlowRequests && !irreversible && !m_request.source
        && (maxAttempts == 0 || static_cast<int>(m_sentTo.size()) < maxAttempts);
}

bool Dispatch::mayBeSilent(const FrameChannel &channel) const
{
    const bool repeatable = m_request.workClass.kind != WorkKind::Irreversible || !m_request.operation.empty();
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
    // In small pieces, so that neither side needs room for the whole start of the body once more.
    std::vector<std::uint8_t> start = std::move(m_request.body);
    std::size_t startSent = 0;
    std::vector<std::uint8_t> piece;
    for (bool more = true; more;) {
        if (startSent < start.size()) {
            const std::size_t end = std::min(startSent + STREAM_PIECE_BYTES, start.size());
            piece.assign(start.begin() + static_cast<std::ptrdiff_t>(startSent),
                         start.begin() + static_cast<std::ptrdiff_t>(end));
            startSent = end;
        } else {
            start = {};
            startSent = 0;
            if (!readPiece(channel, piece, more, yield)) {
                attempt.bodyCut = true;
                return;
            }
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

bool Dispatch::readPiece(FrameChannel &channel, std::vector<std::uint8_t> &piece, bool &more, const Yield &yield)
{
    // A gate answers early only if its upstream has failed, and the caller may pause for long.
    bool answered = false;
    const AnswerWatch watch(&channel, [this, &answered] {
        answered = true;
        m_request.source->interrupt();
    });
    try {
        more = m_request.source->next(piece, yield);
        return true;
    } catch (const boost::system::system_error &) {
        if (!answered) {
            throw;
        }
        return false;
    }
}

void Dispatch::reportAttempt(const UpstreamRef &ref, const AttemptStart &start, const Attempt &attempt,
                             Millis startedAt)
{
    const Millis now = m_shared.clock.now();
    const Millis elapsed = now - startedAt;
    AttemptResult result = AttemptResult::PathFailed;
    Millis serviceTime = elapsed;
    if (!attempt.failed) {
        result = resultOf(attempt.answer);
        serviceTime = Millis(attempt.answer.upstreamMs);
    } else if (attempt.sent) {
        result = m_request.source || attempt.silent ? AttemptResult::Unjudged : AttemptResult::TimedOut;
    }
    if (attempt.withdrawn || (!attempt.sent && !attempt.failed)) {
        result = AttemptResult::Unjudged;
    }
    const Millis networkTime = elapsed - serviceTime - Millis(attempt.answer.queuedMs);
    m_shared.table.onFinish(m_request.service, start, result, serviceTime, networkTime, now);
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
    // An operation can run only at its own gate; suspect upstreams were avoided when it was opened.
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
    m_pauseTimer = &timer;
    const AnswerWatch watch(m_slowRun ? m_slowRun->channel.get() : nullptr, [this, &timer] {
        m_slowRun->answerBegins = true;
        timer.cancel();
    });
    ErrorCode ignored;
    timer.async_wait(yield[ignored]);
    m_pauseTimer = nullptr;
}

void Dispatch::finishNotRun(NotRunReason reason, const std::string &detail)
{
    wire::AnswerT answer;
    answer.outcome = wire::Outcome::NotRun;
    answer.reason = static_cast<wire::NotRunReason>(reason);
    answer.detail = detail;
    m_result.answer = std::move(answer);
}

void Dispatch::finishUnknown(const std::string &detail)
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
    const bool singleAttempt = m_request.workClass.kind == WorkKind::Irreversible && m_request.operation.empty();
    if (singleAttempt || m_request.source || m_shared.refusal == RefusalPolicy::Prompt) {
        return Millis(left);
    }
    const double timeout =
        std::max(MIN_ATTEMPT_TIMEOUT.value, m_request.workClass.latencyTarget.value * ATTEMPT_TARGET_RATIO);
    return Millis(std::min(left, timeout));
}

} // namespace mustardpond
