#include "gaterun.h"

#include "bodydigest.h"
#include "crashwatch.h"
#include "httprules.h"
#include "resetwatch.h"
#include "silencewatch.h"

#include "decision/resend.h"
#include "foundation/bytes.h"
#include "foundation/errors.h"
#include "foundation/events.h"

#include <nlohmann/json.hpp>

namespace mustardpond {

namespace {

constexpr Millis CHANNEL_TIMEOUT{30000};
constexpr Millis CONNECT_TIMEOUT{1000};
constexpr Millis LOCAL_CONNECT_TIMEOUT{300}; ///< the upstream is on this host
constexpr Millis MAX_ANSWER_DELAY{60000}; ///< past the deadline, for the answer to an irreversible request
// A reused connection counts as silent when it has had no answer for this long.
constexpr double SILENCE_THRESHOLD_RATIO = 0.9; ///< of the slow threshold
constexpr double SILENCE_SERVICE_TIME_FACTOR = 6; ///< times the typical service time
constexpr Millis MIN_SILENCE_TIMEOUT{600};
constexpr std::size_t CHUNK_BYTES = 64 * KIB;
constexpr std::size_t SMALL_ANSWER_BYTES = 256 * KIB;
constexpr std::size_t RECORDED_BODY_BYTES = 64 * KIB;

constexpr const char DETAIL_LOST[] =
    "the upstream's answer was lost; the operation may have run and will not run again";
constexpr const char DETAIL_FOREIGN[] = "this gate did not open the operation, or its record has expired";

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

std::string_view toText(const std::vector<std::uint8_t> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string encodeHeaders(const std::vector<std::unique_ptr<wire::HeaderT>> &headers)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &header : headers) {
        list.push_back({header->name, header->value});
    }
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<std::unique_ptr<wire::HeaderT>> decodeHeaders(const std::string &text)
{
    std::vector<std::unique_ptr<wire::HeaderT>> headers;
    for (const auto &entry : nlohmann::json::parse(text)) {
        auto header = std::make_unique<wire::HeaderT>();
        header->name = entry[0].get<std::string>();
        header->value = entry[1].get<std::string>();
        headers.push_back(std::move(header));
    }
    return headers;
}

} // namespace

GateRun::GateRun(GateContext &gate, wire::ProxyRequestT request, FrameChannel &channel)
    : m_gate(gate)
    , m_request(std::move(request))
    , m_channel(channel)
    , m_bytes(gate.byteBudget)
    , m_fingerprint(requestFingerprint(m_request.method, m_request.target, m_request.body))
    , m_arrivedAt(gate.clock.now())
{
    m_bytes.add(m_request.body.size());
    m_deadline = m_arrivedAt + Millis(m_request.deadlineMs);
    if (!m_request.operation.empty()) {
        m_operation = parseOperationId(m_request.operation);
    }
}

void GateRun::run(const Yield &yield)
{
    checkDigest();
    if (!m_request.operation.empty() && !isOperation()) {
        return answerUnknown(DETAIL_FOREIGN, yield);
    }
    if (isOperation() && answerFromLedger(yield)) {
        return;
    }
    const AdmissionQuery admissionQuery = query();
    if (const auto denial = checkAdmission(m_gate, admissionQuery, m_arrivedAt)) {
        return answerNotRun(denial->reason, denial->detail, yield);
    }
    runOnUpstream(*findUpstream(m_gate, admissionQuery), yield);
}

void GateRun::runReserved(Millis grantedAt, const Yield &yield)
{
    checkDigest();
    // The router sent the request after the grant. Counting from the grant keeps the transit time from extending the
    // caller's deadline.
    m_deadline = grantedAt + Millis(m_request.deadlineMs);
    LocalUpstream *upstream = m_gate.registry.find(m_request.upstream);
    if (!upstream || upstream->announced.state != UpstreamState::Ready) {
        return answerNotRun(NotRunReason::Leaving, "the upstream takes no new work", yield);
    }
    if (m_deadline <= m_gate.clock.now()) {
        return answerNotRun(NotRunReason::Deadline, "the deadline passed before the request reached the gate", yield);
    }
    m_servedBy = m_request.upstream;
    execute(*upstream, yield);
}

AdmissionQuery GateRun::query() const
{
    AdmissionQuery query;
    query.service = m_request.service;
    query.upstream = isOperation() ? std::string() : m_request.upstream;
    query.workClass = m_request.workClass;
    // An operation is bound to its gate, and doubtful upstreams were avoided when it was opened.
    query.mayTry = !isIrreversible() || isOperation();
    query.mustServe = m_request.mustServe;
    query.fingerprint = m_fingerprint;
    query.peerBaseline = {Millis(m_request.badAboveMs), m_request.peerBadShare};
    return query;
}

void GateRun::checkDigest() const
{
    if (!m_request.streamed && bodyDigest(m_request.body) != m_request.digest) {
        throw BadFrame("a request's body does not match its digest: check the link between the daemons");
    }
}

bool GateRun::answerFromLedger(const Yield &yield)
{
    return !admit(m_gate.ledger.check(*m_operation, binding(), m_gate.clock.now()), yield);
}

bool GateRun::admit(OperationAdmission admission, const Yield &yield)
{
    if (admission == OperationAdmission::AlreadyRunning) {
        m_gate.operationWaits.wait(*m_operation, remaining(), yield);
        admission = m_gate.ledger.check(*m_operation, binding(), m_gate.clock.now());
    }
    switch (admission) {
    case OperationAdmission::Run:
        return true;
    case OperationAdmission::AlreadyRan:
        answerRecorded(*m_gate.ledger.answer(*m_operation), yield);
        return false;
    case OperationAdmission::AlreadyRunning:
        answerUnknown("the operation is still running", yield);
        return false;
    case OperationAdmission::Lost:
        answerUnknown(DETAIL_LOST, yield);
        return false;
    case OperationAdmission::Closed:
        answerNotRun(NotRunReason::Closed, "the operation was closed before it ran; open a new one", yield);
        return false;
    case OperationAdmission::Mismatch:
        answerNotRun(NotRunReason::Mismatch, "the operation was opened for another organisation, service or request",
                     yield);
        return false;
    case OperationAdmission::Foreign:
        answerUnknown(DETAIL_FOREIGN, yield);
        return false;
    }
    return false;
}

void GateRun::runOnUpstream(LocalUpstream &upstream, const Yield &yield)
{
    const std::string id = upstream.announced.id;
    const auto queue = upstream.queue;
    const SlotPriority priority{INNER_CALL_RANK + 1, m_deadline, {}};
    switch (m_gate.slotScheduler.acquire(queue, priority, remaining(), yield)) {
    case SlotResult::Full:
        return answerNotRun(NotRunReason::Busy, "the upstream's queue is full", yield);
    case SlotResult::Expired:
        return answerNotRun(NotRunReason::Deadline, "the deadline passed in the upstream's queue", yield);
    case SlotResult::Taken:
        break;
    }
    const SlotGuard slot(m_gate.slotScheduler, queue, priority.rank);
    LocalUpstream *current = m_gate.registry.find(id);
    if (!current || current->announced.state != UpstreamState::Ready) {
        return answerNotRun(NotRunReason::Leaving, "the upstream takes no new work", yield);
    }
    if (isOperation() && !admit(m_gate.ledger.begin(*m_operation, binding(), m_gate.clock.now()), yield)) {
        return;
    }
    m_servedBy = id;
    execute(*current, yield);
}

void GateRun::execute(LocalUpstream &upstream, const Yield &yield)
{
    const Endpoint address = upstream.announced.address;
    m_upstreamStart = {upstream.announced.id, upstream.announced.born};
    m_startedAt = m_gate.clock.now();
    std::string failure;
    try {
        m_exchange = openUpstream(upstream, isIrreversible(), yield);
    } catch (const boost::system::system_error &error) {
        failure = error.what();
    }
    if (!m_exchange) {
        m_gate.client.closeIdle(address);
        recordUnreachable();
        if (isOperation()) {
            m_gate.ledger.cancelStart(*m_operation);
            m_gate.operationWaits.notifyEnded(*m_operation);
        }
        return answerNotRun(NotRunReason::Unreachable, failure, yield);
    }
    UpstreamFailureDetector &detector = m_gate.detectorOf(m_servedBy);
    const std::uint64_t number = ++m_gate.lastRunNumber;
    m_runNumber = number;
    detector.onStart(number, m_request.workClass, m_startedAt);
    if (!m_request.streamed) {
        m_gate.trustOf(m_servedBy).onStart(number, m_request.workClass, m_startedAt);
    }
    m_gate.resendBudget.onFirstAttempt();
    try {
        exchange(upstream, number, yield);
        detector.onFinish(number, m_result, serviceTime(), m_gate.clock.now());
        updateTrust(number, m_result, m_broken);
        m_gate.quarantine.onCompleted(m_fingerprint, m_gate.clock.now());
        m_gate.client.release(address, *m_exchange);
        return;
    } catch (const boost::system::system_error &error) {
        failure = error.what();
        m_connectionLost = error.code() != beast::error::timeout;
    } catch (const Exception &) {
        detector.onFinish(number, AttemptResult::Unjudged, Millis(), m_gate.clock.now());
        updateTrust(number, AttemptResult::Unjudged, false);
        markOperationLost();
        throw;
    }
    const bool readerAtFault = m_relay && m_relay->isReaderAtFault();
    const bool callerMayBeAtFault = m_exchange->isCancelled() || m_request.streamed || readerAtFault;
    const AttemptResult result = callerMayBeAtFault ? AttemptResult::Unjudged : AttemptResult::Failed;
    detector.onFinish(number, result, Millis(), m_gate.clock.now());
    updateTrust(number, result, true);
    handleExchangeFailure(address, failure, yield);
}

void GateRun::recordUnreachable()
{
    const std::uint64_t number = ++m_gate.lastRunNumber;
    m_gate.trustOf(m_servedBy).onStart(number, m_request.workClass, m_startedAt);
    updateTrust(number, AttemptResult::Failed, true);
}

void GateRun::updateTrust(std::uint64_t number, AttemptResult result, bool broken)
{
    UpstreamTrust &trust = m_gate.trustOf(m_servedBy);
    const Millis now = m_gate.clock.now();
    const TrustLevel before = trust.level(now);
    trust.onFinish(number, result, broken, now);
    const TrustLevel after = trust.level(now);
    if (after != before) {
        logEvent(Event::UpstreamTrustChanged,
                 {{"upstream", m_servedBy},
                  {"from", nameOf(TRUST_LEVEL_NAMES, before)},
                  {"to", nameOf(TRUST_LEVEL_NAMES, after)},
                  {"class", m_request.workClass},
                  {"result", nameOf(ATTEMPT_RESULT_NAMES, result)},
                  {"broken", broken},
                  {"ranMs", (now - m_startedAt).value}});
    }
}

void GateRun::markOperationLost()
{
    if (isOperation()) {
        m_gate.ledger.markAnswerLost(*m_operation);
        m_gate.operationWaits.notifyEnded(*m_operation);
    }
}

std::unique_ptr<UpstreamExchange> GateRun::openUpstream(LocalUpstream &upstream, bool forceNew, const Yield &yield)
{
    const Millis limit = m_gate.statistical ? CONNECT_TIMEOUT : LOCAL_CONNECT_TIMEOUT;
    const Millis timeout(std::min(limit.value, std::max(1.0, remaining().value)));
    return m_gate.client.open(upstream.announced.address, forceNew, timeout, yield);
}

void GateRun::exchange(LocalUpstream &upstream, std::uint64_t number, const Yield &yield)
{
    if (!mayRetryIfSilent()) {
        return exchangeOnce(*m_exchange, yield);
    }
    if (exchangeUnlessSilent(yield)) {
        return;
    }
    // Something on the network path may have lost the state of open connections; a new connection shows whether the
    // upstream still answers.
    logEvent(Event::ConnectionSilent, {{"upstream", m_servedBy}});
    m_gate.client.closeIdle(upstream.announced.address);
    m_exchange = openUpstream(upstream, true, yield);
    m_startedAt = m_gate.clock.now();
    m_gate.detectorOf(m_servedBy).onStart(number, m_request.workClass, m_startedAt);
    exchangeOnce(*m_exchange, yield);
}

bool GateRun::mayRetryIfSilent() const
{
    const bool isClear = m_gate.quarantine.status(m_fingerprint, m_arrivedAt) == QuarantineStatus::Clear;
    return m_exchange->isReused() && !isIrreversible() && !m_request.streamed && isClear;
}

bool GateRun::exchangeUnlessSilent(const Yield &yield)
{
    const Millis limit = silenceTimeout();
    bool silent = false;
    const SilenceWatch watch(m_gate.context, limit, [this, &silent] { silent = closeIfSilent(); });
    try {
        exchangeOnce(*m_exchange, yield);
        return true;
    } catch (const boost::system::system_error &) {
        if (!silent) {
            throw;
        }
        return false;
    }
}

Millis GateRun::silenceTimeout() const
{
    if (m_gate.statistical) {
        return m_gate.detectorOf(m_servedBy).slowThreshold(m_request.workClass) * SILENCE_THRESHOLD_RATIO;
    }
    const Millis serviceTime = m_gate.trustOf(m_servedBy).typicalServiceTime(m_request.workClass);
    return Millis(std::max(MIN_SILENCE_TIMEOUT.value, serviceTime.value * SILENCE_SERVICE_TIME_FACTOR));
}

bool GateRun::closeIfSilent()
{
    const LocalUpstream *upstream = m_gate.registry.find(m_servedBy);
    const bool ready = upstream && upstream->announced.state == UpstreamState::Ready;
    if (!mayResend({m_headReceived, m_exchange->isCancelled(), ready}) || !m_gate.resendBudget.tryConsumeRetry()) {
        return false;
    }
    m_exchange->close();
    return true;
}

void GateRun::exchangeOnce(UpstreamExchange &exchange, const Yield &yield)
{
    if (!isIrreversible()) {
        cancelOnDisconnect(m_exchange);
    }
    if (m_request.streamed) {
        wire::ProceedT proceed;
        proceed.request = m_request.request;
        m_channel.send(packMessage(proceed), CHANNEL_TIMEOUT, yield);
    }
    sendRequest(exchange, yield);
    receiveAnswer(exchange, yield);
}

void GateRun::sendRequest(UpstreamExchange &exchange, const Yield &yield)
{
    auto &request = m_upstreamRequest;
    request = {};
    request.method_string(m_request.method);
    request.target(m_request.target);
    request.version(11);
    for (const auto &header : m_request.headers) {
        request.insert(header->name, header->value);
    }
    m_gate.dialect->setRequestFields({m_servedBy, remaining()}, request);
    m_running = m_gate.runningRequests.begin(m_upstreamStart, m_gate.dialect->requestIdOf(request), m_deadline);
    const bool lengthKnown = !m_request.streamed || m_request.bodyBytes > 0;
    if (lengthKnown) {
        const auto length = m_request.streamed ? m_request.bodyBytes : m_request.body.size();
        const bool mayOmit = length == 0 && (m_request.method == "GET" || m_request.method == "HEAD");
        if (!mayOmit) {
            request.content_length(length);
        }
    } else {
        request.chunked(true);
    }
    exchange.sendHead(request, exchangeTimeout(), yield);
    if (m_request.streamed) {
        return relayUpload(exchange, yield);
    }
    exchange.sendBody(std::string(toText(m_request.body)), true, exchangeTimeout(), yield);
}

void GateRun::relayUpload(UpstreamExchange &exchange, const Yield &yield)
{
    StreamDigest digest;
    bool reset = false;
    const ResetWatch watch(exchange.socket(), [this, &reset] {
        reset = true;
        ErrorCode ignored;
        m_channel.socket().cancel(ignored);
    });
    for (bool last = false; !last && !reset;) {
        const auto chunk = receiveChunk(reset, yield);
        if (!chunk) {
            break;
        }
        digest.add(chunk->body.data(), chunk->body.size());
        last = chunk->last;
        if (last && digest.value() != chunk->digest) {
            throw BadFrame("an upload does not match its digest: check the link between the daemons");
        }
        exchange.sendBody(std::string(toText(chunk->body)), last, exchangeTimeout(), yield);
    }
    if (reset) {
        exchange.onReset();
    }
    m_streamedPlace.reset();
    // Until now the upstream waited for the caller, which must not look like a run that hangs.
    m_gate.trustOf(m_servedBy).onStart(m_runNumber, m_request.workClass, m_gate.clock.now());
}

std::optional<wire::BodyChunkT> GateRun::receiveChunk(const bool &reset, const Yield &yield)
{
    try {
        return m_channel.receiveFor<wire::BodyChunkT>(m_request.request, CHANNEL_TIMEOUT, yield);
    } catch (const boost::system::system_error &) {
        if (!reset) {
            throw;
        }
        return std::nullopt;
    }
}

void GateRun::receiveAnswer(UpstreamExchange &exchange, const Yield &yield)
{
    const AnswerClassification classification = receiveHead(exchange, yield);
    m_headReceived = true;
    if (classification.kind != AnswerKind::Own) {
        return handleUnusableAnswer(exchange, classification, yield);
    }
    m_result = resultOfStatus(exchange.head().result_int());
    std::string body;
    bool more = true;
    while (more && body.size() < SMALL_ANSWER_BYTES) {
        more = exchange.receiveBody(body, CHUNK_BYTES, exchangeTimeout(), yield);
    }
    m_bytes.add(body.size());
    wire::AnswerT answer = newAnswer(Outcome::Ran);
    answer.status = static_cast<std::uint16_t>(exchange.head().result_int());
    for (const auto &field : exchange.head()) {
        if (!isHopByHop(field.name())) {
            auto header = std::make_unique<wire::HeaderT>();
            header->name = std::string(field.name_string());
            header->value = std::string(field.value());
            answer.headers.push_back(std::move(header));
        }
    }
    if (more) {
        return relayAnswer(exchange, std::move(answer), std::move(body), yield);
    }
    m_running.finish();
    answer.body = toBytes(body);
    answer.digest = bodyDigest(answer.body);
    if (isOperation()) {
        const bool recordBody = body.size() <= RECORDED_BODY_BYTES;
        m_gate.ledger.finish(*m_operation,
                             {answer.status, encodeHeaders(answer.headers), recordBody ? body : std::string()});
        m_gate.operationWaits.notifyEnded(*m_operation);
    }
    sendAnswer(std::move(answer), yield);
}

AnswerClassification GateRun::receiveHead(UpstreamExchange &exchange, const Yield &yield)
{
    while (true) {
        exchange.receiveHead(exchangeTimeout(), yield);
        const AnswerClassification classification =
            m_gate.dialect->classifyAnswer(m_upstreamRequest, exchange.head().result_int(), exchange.head());
        if (classification.kind != AnswerKind::Foreign) {
            return classification;
        }
        logEvent(Event::AnswerForeign, {{"upstream", m_servedBy}, {"request", m_request.request}});
        std::string skipped;
        while (exchange.receiveBody(skipped, CHUNK_BYTES, exchangeTimeout(), yield)) {
            skipped.clear();
        }
        exchange.preventReuse();
    }
}

void GateRun::handleUnusableAnswer(UpstreamExchange &exchange, const AnswerClassification &classification,
                                   const Yield &yield)
{
    const bool notRun = classification.kind == AnswerKind::NotRun;
    exchange.preventReuse();
    markOperationLost();
    if (notRun) {
        m_running.finish();
        m_result = AttemptResult::Unjudged;
        wire::AnswerT answer = newAnswer(Outcome::NotRun);
        answer.reason = static_cast<wire::NotRunReason>(classification.reason);
        answer.detail = "the upstream did not run the request";
        answer.reachedUpstream = true;
        return sendAnswer(std::move(answer), yield);
    }
    m_result = AttemptResult::Failed;
    m_broken = true;
    answerUnknown("the upstream's answer is invalid and was not passed on", yield);
}

void GateRun::relayAnswer(UpstreamExchange &exchange, wire::AnswerT answer, std::string body, const Yield &yield)
{
    if (isOperation()) {
        m_gate.ledger.finish(*m_operation, {answer.status, encodeHeaders(answer.headers), std::string()});
        m_gate.operationWaits.notifyEnded(*m_operation);
    }
    StreamDigest digest;
    digest.add(body.data(), body.size());
    answer.streamed = true;
    answer.body = toBytes(body);
    m_relay.emplace(m_gate, RunRef{m_servedBy, m_runNumber}, m_channel);
    m_relay->send(packMessage(std::move(answer)), std::min(CHANNEL_TIMEOUT, exchangeTimeout()), yield);
    for (bool more = true; more;) {
        body.clear();
        more = exchange.receiveBody(body, CHUNK_BYTES, exchangeTimeout(), yield);
        digest.add(body.data(), body.size());
        wire::BodyChunkT chunk;
        chunk.request = m_request.request;
        chunk.last = !more;
        chunk.digest = digest.value();
        chunk.body = toBytes(body);
        m_relay->send(packMessage(std::move(chunk)), std::min(CHANNEL_TIMEOUT, exchangeTimeout()), yield);
    }
    m_running.finish();
}

void GateRun::handleExchangeFailure(const Endpoint &address, const std::string &cause, const Yield &yield)
{
    m_gate.client.closeIdle(address);
    markOperationLost();
    wire::AnswerT answer = newAnswer(Outcome::Unknown);
    answer.detail = "the exchange with the upstream failed: " + cause;
    const SuspectedCrash suspected{address, m_request.service, m_fingerprint};
    // An upstream that keeps failing has been checked before; each check costs it a connection.
    const bool failsRepeatedly = !m_gate.statistical && m_gate.trustOf(m_servedBy).consecutiveFailures() > 1;
    if (failsRepeatedly) {
        return sendAnswer(std::move(answer), yield);
    }
    if (!m_exchange->isCancelled() && m_connectionLost && hasJustCrashed(m_gate, suspected, yield)) {
        recordCrash(m_gate, suspected);
        answer.reason = wire::NotRunReason::Quarantined;
    } else if (m_exchange->isCancelled() || m_connectionLost) {
        scheduleCrashCheck(m_gate, suspected);
    }
    sendAnswer(std::move(answer), yield);
}

void GateRun::answerNotRun(NotRunReason reason, const std::string &detail, const Yield &yield)
{
    wire::AnswerT answer = newAnswer(Outcome::NotRun);
    answer.reason = static_cast<wire::NotRunReason>(reason);
    answer.detail = detail;
    sendAnswer(std::move(answer), yield);
}

void GateRun::answerUnknown(const std::string &detail, const Yield &yield)
{
    wire::AnswerT answer = newAnswer(Outcome::Unknown);
    answer.detail = detail;
    sendAnswer(std::move(answer), yield);
}

void GateRun::answerRecorded(const RecordedAnswer &recorded, const Yield &yield)
{
    wire::AnswerT answer = newAnswer(Outcome::Ran);
    answer.status = recorded.status;
    answer.headers = decodeHeaders(recorded.headers);
    answer.body = toBytes(recorded.body);
    answer.digest = bodyDigest(answer.body);
    sendAnswer(std::move(answer), yield);
}

void GateRun::sendAnswer(wire::AnswerT answer, const Yield &yield)
{
    m_channel.send(packMessage(std::move(answer)), CHANNEL_TIMEOUT, yield);
}

wire::AnswerT GateRun::newAnswer(Outcome outcome) const
{
    wire::AnswerT answer;
    answer.request = m_request.request;
    answer.outcome = static_cast<wire::Outcome>(outcome);
    const Millis now = m_gate.clock.now();
    const bool started = m_startedAt > Millis();
    answer.queuedMs = ((started ? m_startedAt : now) - m_arrivedAt).value;
    answer.upstreamMs = started ? (now - m_startedAt).value : 0;
    answer.digest = bodyDigest(answer.body);
    if (const LocalUpstream *upstream = m_gate.registry.find(m_servedBy.empty() ? m_request.upstream : m_servedBy)) {
        answer.load = std::make_unique<wire::LoadT>(loadOf(m_gate, *upstream, m_request.workClass));
    }
    return answer;
}

Millis GateRun::serviceTime() const
{
    return m_gate.clock.now() - m_startedAt - (m_relay ? m_relay->waited() : Millis());
}

OperationBinding GateRun::binding() const
{
    return {m_request.service, m_request.organisation, m_fingerprint};
}

Millis GateRun::remaining() const
{
    const Millis left = m_deadline - m_gate.clock.now();
    return Millis(std::max(1.0, left.value));
}

Millis GateRun::exchangeTimeout() const
{
    const Millis end = isIrreversible() ? m_deadline + MAX_ANSWER_DELAY : m_deadline;
    const Millis left = end - m_gate.clock.now();
    // Every read and write restarts its timeout, so a peer that keeps sending would never time out otherwise.
    if (left <= Millis()) {
        throw boost::system::system_error(beast::error::timeout);
    }
    return left;
}

void GateRun::cancelOnDisconnect(const std::shared_ptr<UpstreamExchange> &exchange)
{
    if (m_request.streamed) {
        return;
    }
    const std::weak_ptr<UpstreamExchange> watched = exchange;
    m_channel.socket().async_wait(tcp::socket::wait_read, [watched](ErrorCode error) {
        const auto running = watched.lock();
        if (!error && running) {
            running->cancel();
        }
    });
}

} // namespace mustardpond
