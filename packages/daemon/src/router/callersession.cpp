#include "callersession.h"

#include "answerstream.h"

#include "decision/stopadmission.h"
#include "foundation/bytes.h"
#include "foundation/errors.h"
#include "foundation/events.h"
#include "httprules.h"
#include "messagehead.h"
#include "net/bodybuffer.h"
#include "operationopener.h"
#include "quotaadmission.h"
#include "regionbytecounter.h"
#include "router.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace mustardpond {

namespace {

constexpr const char OPERATIONS_PATH[] = "/-/operations";
constexpr std::size_t READ_BUFFER_BYTES = 64 * KIB;
constexpr std::size_t HEAD_READ_BYTES = 1 * KIB;
constexpr std::size_t DRAIN_READ_BYTES = 16 * KIB;
constexpr Millis DRAIN_TIMEOUT{10000}; ///< for a caller to send the rest of a body that was answered early
constexpr Millis DRAIN_IDLE_TIMEOUT{2000}; ///< without data from the caller
constexpr Millis OPEN_TIMEOUT{5000};
constexpr Millis MIN_RETRY_AFTER{200};
constexpr Millis PROBLEM_RETRY_AFTER{1000}; ///< sent with every answer of replyProblem()
constexpr Millis QUARANTINE_RETRY_AFTER{60000}; ///< for a request that crashes upstreams

std::string textOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the host without its port.
std::string hostOf(beast::string_view field)
{
    return textOf(field.substr(0, field.find(':')));
}

struct IntendedRequest {
    std::string path;
    std::string method;
};

/// Parses the request that an operation is opened for. Returns nothing if it is malformed.
std::optional<IntendedRequest> parseIntendedRequest(const std::vector<std::uint8_t> &body)
{
    try {
        const auto document = nlohmann::json::parse(body.begin(), body.end());
        return IntendedRequest{document.at("path").get<std::string>(), document.value("method", "POST")};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

CallerSession::CallerSession(Router &router, tcp::socket socket)
    : m_router(router)
    , m_stream(std::move(socket))
    , m_idleSince(router.clock().now())
{
    m_router.addSession(this);
    ErrorCode ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
}

CallerSession::~CallerSession()
{
    m_router.removeSession(this);
}

Millis CallerSession::idleTime(Millis now) const
{
    return m_busy || m_buffer.size() > 0 ? Millis() : now - m_idleSince;
}

void CallerSession::abortPending()
{
    if (m_dispatch) {
        m_dispatch->abortPending();
    }
}

void CallerSession::run(const Yield &yield)
{
    while (m_keepOpen && readHead(yield)) {
        m_busy = true;
        handle(yield);
        releaseBuffer();
        m_busy = false;
        m_idleSince = m_router.clock().now();
    }
    drain(yield);
}

void CallerSession::drain(const Yield &yield)
{
    // Closing with unread bytes would reset the connection and could destroy the last reply.
    ErrorCode error;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
    std::vector<char> scratch(DRAIN_READ_BYTES);
    const Millis deadline = m_router.clock().now() + DRAIN_TIMEOUT;
    while (!error && m_router.clock().now() < deadline) {
        m_stream.expires_after(toDuration(DRAIN_IDLE_TIMEOUT));
        m_stream.async_read_some(asio::buffer(scratch), yield[error]);
    }
}

bool CallerSession::readHead(const Yield &yield)
{
    m_parser.emplace();
    const CallerLimits limits = callerLimits();
    m_buffer.max_size(limits.headBytes + MAX_READ_BUFFER_BYTES);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headBytes));
    m_parser->body_limit(limits.bodyBytes);
    ErrorCode error;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(toDuration(limits.idleTimeout));
        m_buffer.commit(m_stream.async_read_some(m_buffer.prepare(HEAD_READ_BYTES), yield[error]));
    }
    if (!error) {
        m_stream.expires_after(toDuration(limits.headTimeout));
        http::async_read_header(m_stream, m_buffer, *m_parser, yield[error]);
    } else if (error == asio::error::eof) {
        error = http::error::end_of_stream;
    }
    if (!error) {
        return true;
    }
    if (error != http::error::end_of_stream) {
        rejectMalformed(error, yield);
    }
    return false;
}

void CallerSession::rejectMalformed(ErrorCode error, const Yield &yield)
{
    m_keepOpen = false;
    if (error == http::error::header_limit) {
        return replyProblem(http::status::request_header_fields_too_large,
                            "the head of the request is too large: send fewer or shorter header fields", yield);
    }
    if (error == beast::error::timeout) {
        if (m_buffer.size() == 0) {
            return;
        }
        return replyProblem(http::status::request_timeout, "the request did not arrive in time: send it faster", yield);
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category()) {
        replyProblem(http::status::bad_request, "not a valid HTTP/1.1 request (" + error.message() + "): correct it",
                     yield);
    }
}

void CallerSession::handle(const Yield &yield)
{
    const auto &head = m_parser->get();
    const std::string problem = problemOfRequestHead(head, head.version());
    if (!problem.empty()) {
        m_keepOpen = false; // what follows may be a body or another request
        return replyProblem(http::status::bad_request, problem, yield);
    }
    if (beast::iequals(head[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, head.version());
        m_stream.expires_after(toDuration(CALLER_WRITE_TIMEOUT));
        http::async_write(m_stream, proceed, yield);
    }
    if (m_router.dialect().hasOperations() && head.target() == OPERATIONS_PATH) {
        return openOperation(yield);
    }
    proxy(yield);
}

void CallerSession::openOperation(const Yield &yield)
{
    CallerRequest request;
    if (!readBody(request, yield)) {
        return;
    }
    const auto intended = parseIntendedRequest(request.body);
    if (!intended) {
        return replyProblem(http::status::bad_request,
                            R"(send a JSON object such as {"path": "/muhur/seals", "method": "POST"})", yield);
    }
    if (!m_router.waitForConfiguration(OPEN_TIMEOUT, yield)) {
        return replyProblem(http::status::service_unavailable, "no configuration has been received yet", yield);
    }
    const auto config = m_router.view().config;
    const RouteMatch match =
        config->route(intended->path, intended->method, hostOf(m_parser->get()[http::field::host]));
    if (!match.service) {
        return replyProblem(http::status::not_found, "no route for " + intended->method + " " + intended->path, yield);
    }
    request.service = match.service->name;
    request.workClass = *match.workClass;
    request.organisation = m_router.dialect().read(m_parser->get()).organisation;
    if (refuseUnauthenticated(request, *match.route, yield) || refuse(request, yield)) {
        return;
    }
    request.deadline = m_router.clock().now() + OPEN_TIMEOUT;
    OperationOpener opener(m_router.dispatchContext(), request);
    const std::string operation = opener.open(yield);
    if (operation.empty()) {
        return replyProblem(http::status::service_unavailable, "no gate could open an operation: try again", yield);
    }
    http::response<http::string_body> response(http::status::created, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = nlohmann::json({{"operation", operation}}).dump();
    replyText(response, yield);
}

void CallerSession::proxy(const Yield &yield)
{
    const Millis startedAt = m_router.clock().now();
    CallerRequest request;
    if (!classify(request, yield) || !readBody(request, yield)) {
        return;
    }
    if (refuse(request, yield)) {
        return;
    }
    CallerBody rest = bodyReader();
    if (!m_parser->is_done()) {
        request.source = &rest;
        request.bodyBytes = m_parser->content_length() ? *m_parser->content_length() : 0;
    }
    request.fingerprint = requestFingerprint(request.method, request.target, request.body);
    if (refuseLate(request, startedAt, yield)) {
        return;
    }
    m_stream.expires_never();
    if (auto refused = refuseByQuota(m_router.quota(), request, yield)) {
        return reply(request, std::move(*refused), startedAt, yield);
    }
    Dispatch dispatch(m_router.dispatchContext(), request);
    watchCaller(request, dispatch);
    m_dispatch = &dispatch;
    DispatchResult result = dispatch.run(yield);
    m_dispatch = nullptr;
    stopWatching();
    settleQuota(m_router.quota(), request, result);
    if (dispatch.hasCallerLeft()) {
        m_keepOpen = false;
        return;
    }
    reply(request, std::move(result), startedAt, yield);
}

bool CallerSession::classify(CallerRequest &request, const Yield &yield)
{
    const auto &head = m_parser->get();
    const CallerMetadata metadata = m_router.dialect().read(head);
    if (!metadata.problem.empty()) {
        m_keepOpen = false;
        replyProblem(http::status::bad_request, metadata.problem, yield);
        return false;
    }
    if (!m_router.waitForConfiguration(OPEN_TIMEOUT, yield)) {
        m_keepOpen = false;
        replyProblem(http::status::service_unavailable, "no configuration has been received yet", yield);
        return false;
    }
    const auto config = m_router.view().config;
    const RouteMatch match =
        config->route({head.target().data(), head.target().size()},
                      {head.method_string().data(), head.method_string().size()}, hostOf(head[http::field::host]));
    if (!match.service) {
        m_keepOpen = false;
        replyProblem(http::status::not_found, "no route for " + std::string(head.target()), yield);
        return false;
    }
    request.workClass = *match.workClass;
    request.id = metadata.requestId;
    request.organisation = metadata.organisation;
    request.inner = isInner(metadata);
    if (refuseUnauthenticated(request, *match.route, yield)) {
        return false;
    }
    request.service = m_router.nextServiceOf(*match.route);
    request.operation = metadata.operation;
    request.method = std::string(head.method_string());
    request.target = std::string(head.target());
    const Millis limit = request.workClass.deadline;
    request.deadline = m_router.clock().now() + Millis(std::min(metadata.timeLeft.value_or(limit).value, limit.value));
    copyHeaders(request);
    return true;
}

bool CallerSession::refuseUnauthenticated(CallerRequest &request, const RouteObject &route, const Yield &yield)
{
    const auto config = m_router.view().config;
    const KeyProblem problem = authenticate(*config, route, m_parser->get(), request);
    if (problem == KeyProblem::None) {
        return false;
    }
    m_router.refusedKeys().add(problem, route.parts.front().service, m_router.clock().now());
    replyProblem(http::status::unauthorized, describe(problem), yield);
    return true;
}

bool CallerSession::refuse(const CallerRequest &request, const Yield &yield)
{
    if (!request.operation.empty()) {
        return false;
    }
    const RefusalQuery query{request.service, request.workClass.name, m_router.settings().region,
                             m_router.random().uniform()};
    const auto config = m_router.view().config;
    const ApprovedRefusal *refusal = findRefusal(config->refusals(), query, wallClockNow());
    if (!refusal) {
        return false;
    }
    m_keepOpen = m_keepOpen && m_parser->is_done();
    RouterAnswer answer;
    answer.reason = NotRunReason::Refused;
    answer.detail = "refused under " + refusal->id + ", approved by " + refusal->director;
    FinishedRequest finished;
    finished.service = request.service;
    finished.workClass = request.workClass.name;
    finished.refused = true;
    m_router.burn().add(finished, m_router.clock().now());
    replyRouterAnswer(http::status::service_unavailable, answer, yield);
    return true;
}

bool CallerSession::refuseLate(const CallerRequest &request, Millis startedAt, const Yield &yield)
{
    // An operation may have run through another router, so this one cannot answer that it has not run.
    if (m_router.isAccepting() || !request.operation.empty()) {
        return false;
    }
    const DispatchContext &context = m_router.dispatchContext();
    const Millis now = m_router.clock().now();
    LateRequest late;
    late.timeLeft = request.deadline - now;
    late.untilStop = *context.stopAt - now;
    late.serviceTime = m_router.table().classServiceTime(request.service, request.workClass.name);
    late.latencyTarget = request.workClass.latencyTarget;
    late.inner = request.inner;
    if (endsBeforeStop(late)) {
        return false;
    }
    m_keepOpen = false;
    DispatchResult result;
    result.answer.outcome = wire::Outcome::NotRun;
    result.answer.reason = wire::NotRunReason::Leaving;
    result.answer.detail = "the daemon is stopping and might not finish the request in time";
    result.retryAfter = std::max(MIN_RETRY_AFTER, late.untilStop);
    reply(request, std::move(result), startedAt, yield);
    return true;
}

bool CallerSession::readBody(CallerRequest &request, const Yield &yield)
{
    const std::size_t limit = m_router.settings().limits.bufferedBodyBytes;
    CallerBody body = bodyReader();
    std::vector<std::uint8_t> piece;
    ErrorCode failure;
    try {
        while (!m_parser->is_done() && request.body.size() < limit) {
            body.next(piece, yield);
            request.body.insert(request.body.end(), piece.begin(), piece.end());
        }
    } catch (const boost::system::system_error &error) {
        failure = error.code();
    }
    if (!failure) {
        return true;
    }
    m_keepOpen = false;
    const bool timedOut = failure == beast::error::timeout;
    if (failure == http::error::body_limit) {
        replyProblem(http::status::payload_too_large, "the body is too large: send a smaller one", yield);
        return false;
    }
    replyProblem(timedOut ? http::status::request_timeout : http::status::bad_request,
                 timedOut ? "the body did not arrive in time: send it faster"
                          : "the body is incomplete (" + failure.message() + "): send it whole",
                 yield);
    return false;
}

void CallerSession::copyHeaders(CallerRequest &request) const
{
    for (const auto &entry : m_parser->get()) {
        const std::string name(entry.name_string());
        if (isHopByHop(entry.name()) || m_router.dialect().isForRouter(name) || isConnectionField(name)) {
            continue;
        }
        auto header = std::make_unique<wire::HeaderT>();
        header->name = name;
        header->value = std::string(entry.value());
        request.headers.push_back(std::move(header));
    }
    const std::string callerField = m_router.dialect().callerField();
    if (!callerField.empty()) {
        auto header = std::make_unique<wire::HeaderT>();
        header->name = callerField;
        header->value = m_router.settings().service;
        request.headers.push_back(std::move(header));
    }
    replaceKeyFields(*m_router.view().config, m_router.dialect().organisationField(), request);
}

bool CallerSession::isConnectionField(const std::string &name) const
{
    const http::token_list tokens(m_parser->get()[http::field::connection]);
    return std::any_of(tokens.begin(), tokens.end(),
                       [&name](beast::string_view token) { return beast::iequals(token, name); });
}

bool CallerSession::isInner(const CallerMetadata &metadata) const
{
    // Callers share the host's address with the upstream, so the address cannot distinguish them.
    const auto &isRunningLocally = m_router.dispatchContext().isRunningLocally;
    return isRunningLocally && isRunningLocally(metadata.parentId);
}

void CallerSession::watchCaller(const CallerRequest &request, Dispatch &dispatch)
{
    m_watching = std::make_shared<bool>(true);
    if (request.source) {
        return;
    }
    m_stream.socket().async_wait(
        tcp::socket::wait_read, [this, watching = m_watching, &request, &dispatch](ErrorCode error) {
            if (error || !*watching) {
                return;
            }
            char byte = 0;
            ErrorCode state;
            const auto peeked = m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, state);
            if (state || peeked == 0) {
                logEvent(Event::RequestLeft, {{"request", request.id}, {"service", request.service}});
                dispatch.leave();
            }
        });
}

void CallerSession::stopWatching()
{
    *m_watching = false;
    ErrorCode ignored;
    m_stream.socket().cancel(ignored);
}

CallerLimits CallerSession::callerLimits() const
{
    const DaemonLimits &limits = m_router.settings().limits;
    const auto &config = m_router.view().config;
    if (config && config->callerLimits()) {
        return *config->callerLimits();
    }
    return {limits.headBytes, UNLIMITED_BYTES, limits.callerIdleTimeout, limits.callerIdleTimeout};
}

void CallerSession::reply(const CallerRequest &request, DispatchResult result, Millis startedAt, const Yield &yield)
{
    recordResult(request, result, startedAt);
    if (request.source && !m_parser->is_done()) {
        m_keepOpen = false;
    }
    if (result.held) {
        m_router.reportHeld(request.service, request.workClass.name);
    }
    if (result.answer.outcome == wire::Outcome::Ran) {
        return replyRan(request, result, yield);
    }
    RouterAnswer routerAnswer{static_cast<Outcome>(result.answer.outcome),
                              static_cast<NotRunReason>(result.answer.reason),
                              result.answer.detail,
                              result.retryAfter,
                              result.timedOut,
                              result.overQuota};
    if (routerAnswer.reason == NotRunReason::Quarantined) {
        routerAnswer.retryAfter = QUARANTINE_RETRY_AFTER;
    }
    if (!result.overQuota) { // logged by organisation, as there may be many
        logRouterAnswer(request, routerAnswer, result, startedAt);
    }
    replyRouterAnswer(m_router.dialect().statusOf(routerAnswer), routerAnswer, yield);
}

void CallerSession::logRouterAnswer(const CallerRequest &request, const RouterAnswer &answer,
                                    const DispatchResult &result, Millis startedAt)
{
    logEvent(answer.outcome == Outcome::NotRun ? Event::RequestRefused : Event::RequestFailed,
             {{"request", request.id},
              {"service", request.service},
              {"class", request.workClass.name},
              {"inner", request.inner},
              {"upstream", result.upstream},
              {"asked", result.gatesAsked},
              {"config", m_router.view().config->newestVersion()},
              {"reason", nameOf(NOT_RUN_REASON_NAMES, answer.reason)},
              {"detail", answer.detail},
              {"afterMs", (m_router.clock().now() - startedAt).value},
              {"leftMs", (request.deadline - m_router.clock().now()).value},
              {"retryAfterMs", answer.retryAfter.value}});
}

void CallerSession::releaseBuffer()
{
    if (m_buffer.capacity() >= READ_BUFFER_BYTES) {
        m_buffer.shrink_to_fit();
    }
}

void CallerSession::recordResult(const CallerRequest &request, const DispatchResult &result, Millis startedAt)
{
    const Millis now = m_router.clock().now();
    const Millis latency = now - startedAt;
    const auto outcome = static_cast<Outcome>(result.answer.outcome);
    m_router.metrics().addRequest(
        {request.service, request.workClass.name, outcome, latency, Millis(result.answer.upstreamMs)});
    FinishedRequest finished;
    finished.service = request.service;
    finished.workClass = request.workClass.name;
    finished.upstream = result.upstream;
    const bool succeeded = outcome == Outcome::Ran && !isServerError(result.answer.status);
    finished.good = succeeded && latency <= request.workClass.latencyTarget;
    finished.retried = result.retried;
    finished.spilled = result.distance == Distance::OtherRegion;
    finished.held = result.held;
    finished.refused = result.overQuota;
    m_router.burn().add(finished, now);
    if (outcome == Outcome::Ran) {
        logEvent(succeeded && !finished.good ? Event::RequestLate : Event::RequestAnswered,
                 {{"request", request.id},
                  {"class", request.workClass.name},
                  {"service", request.service},
                  {"upstream", result.upstream},
                  {"inner", request.inner},
                  {"distance", nameOf(DISTANCE_NAMES, result.distance)},
                  {"status", result.answer.status},
                  {"bytes", request.body.size() + result.answer.body.size()},
                  {"afterMs", latency.value},
                  {"targetMs", request.workClass.latencyTarget.value},
                  {"upstreamMs", result.answer.upstreamMs},
                  {"queuedMs", result.answer.queuedMs},
                  {"retried", result.retried},
                  {"config", m_router.view().config->newestVersion()}});
    }
}

void CallerSession::replyRan(const CallerRequest &request, DispatchResult &result, const Yield &yield)
{
    const wire::AnswerT &answer = result.answer;
    http::response<http::buffer_body> response;
    response.result(answer.status);
    response.version(m_parser->get().version());
    for (const auto &header : answer.headers) {
        response.insert(header->name, header->value);
    }
    m_router.dialect().setAnswerFields({result.upstream}, response);
    response.keep_alive(keepAlive());
    const bool isHead = m_parser->get().method() == http::verb::head;
    if (answer.streamed) {
        const RegionByteCounter counter(m_router.metrics(), request.organisation, *result.channel,
                                        result.distance == Distance::OtherRegion);
        return replyStreamed(result, response, request.deadline, yield);
    }
    const bool bodyless = answer.status == 204 || answer.status == 304;
    if (!isHead && !bodyless) {
        response.content_length(answer.body.size());
    }
    response.body().data = const_cast<std::uint8_t *>(answer.body.data());
    response.body().size = isHead ? 0 : answer.body.size();
    response.body().more = false;
    m_stream.expires_after(toDuration(CALLER_WRITE_TIMEOUT));
    http::async_write(m_stream, response, yield);
    m_keepOpen = m_keepOpen && response.keep_alive();
}

void CallerSession::replyStreamed(DispatchResult &result, http::response<http::buffer_body> &response, Millis deadline,
                                  const Yield &yield)
{
    const bool lengthKnown = response.has_content_length();
    if (!lengthKnown && response.version() >= 11) {
        response.chunked(true);
    }
    try {
        StreamedAnswer answer{result.answer.request, std::move(result.answer.body), result.channel.get(), deadline,
                              m_router.clock()};
        streamAnswer(m_stream, response, std::move(answer), yield);
        m_keepOpen = m_keepOpen && response.keep_alive() && (lengthKnown || response.chunked());
    } catch (const std::exception &) {
        // A reset marks the answer as truncated even if its framing gives no length.
        logEvent(Event::AnswerDiscarded, {{"upstream", result.upstream}});
        ErrorCode ignored;
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_stream.socket().close(ignored);
        m_keepOpen = false;
    }
}

void CallerSession::replyProblem(http::status status, const std::string &detail, const Yield &yield)
{
    RouterAnswer answer;
    answer.detail = detail;
    answer.retryAfter = PROBLEM_RETRY_AFTER;
    replyRouterAnswer(status, answer, yield);
}

void CallerSession::replyRouterAnswer(http::status status, const RouterAnswer &answer, const Yield &yield)
{
    http::response<http::string_body> response(status, 11);
    m_router.dialect().writeAnswer(answer, response);
    replyText(response, yield);
}

void CallerSession::replyText(http::response<http::string_body> &response, const Yield &yield)
{
    response.keep_alive(keepAlive());
    response.prepare_payload();
    m_stream.expires_after(toDuration(CALLER_WRITE_TIMEOUT));
    ErrorCode error;
    http::async_write(m_stream, response, yield[error]);
    m_keepOpen = m_keepOpen && !error && response.keep_alive();
}

CallerBody CallerSession::bodyReader()
{
    return {m_stream, m_buffer, *m_parser, m_router.settings().limits.callerIdleTimeout};
}

bool CallerSession::keepAlive() const
{
    return m_keepOpen && m_parser->is_done() && m_parser->get().keep_alive() && !m_router.isLeaving();
}

} // namespace mustardpond
