#include "callersession.h"

#include "answerstream.h"
#include "callerdrain.h"
#include "callerhead.h"
#include "callorigin.h"
#include "inputproblem.h"
#include "intendedrequest.h"

#include "decision/stopadmission.h"
#include "foundation/bytes.h"
#include "foundation/events.h"
#include "httprules.h"
#include "messagehead.h"
#include "net/bodybuffer.h"
#include "operationopener.h"
#include "quotaadmission.h"
#include "regionbytecounter.h"
#include "requestrecord.h"
#include "router.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardpond {

namespace {

constexpr const char OPERATIONS_PATH[] = "/-/operations";
constexpr std::size_t REQUEST_BYTES = 4 * KIB; ///< that any request takes from the byte budget
constexpr int SEND_BUFFER_BYTES = 64 * KIB; ///< in the kernel, which would buffer MBs for a caller that does not read
constexpr Millis OPEN_TIMEOUT{5000};
constexpr Millis MIN_LATE_RETRY_AFTER{200};
constexpr Millis PROBLEM_RETRY_AFTER{1000}; ///< sent with every answer of replyProblem()

/// Returns the host without its port.
std::string hostOf(beast::string_view field)
{
    return std::string(field.substr(0, field.find(':')));
}

} // namespace

CallerSession::CallerSession(Router &router, tcp::socket socket)
    : m_router(router)
    , m_stream(std::move(socket))
    , m_hold(router.bodyBudget(), [this] { m_stream.cancel(); })
    , m_buffer(m_hold)
    , m_idleSince(router.clock().now())
{
    m_router.addSession(this);
    ErrorCode ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    m_stream.socket().set_option(asio::socket_base::send_buffer_size(SEND_BUFFER_BYTES), ignored);
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

bool CallerSession::mayBeClosed(Millis silence) const
{
    const bool idle = !m_busy && m_buffer.size() == 0;
    ErrorCode error;
    const bool hasSent = idle && m_stream.socket().available(error) > 0;
    return (idle && !hasSent) || silence >= ByteBudget::PROGRESS_TIME;
}

void CallerSession::closeForOther()
{
    m_keepOpen = false;
    m_stream.close();
}

void CallerSession::run(const Yield &yield)
{
    while (m_keepOpen && readHead(yield)) {
        m_busy = true;
        handle(yield);
        releaseMemory();
        m_busy = false;
        m_idleSince = m_router.clock().now();
    }
    releaseMemory();
    if (m_stream.socket().is_open()) {
        m_hold.setEvictable(true); // by a new connection, as the router only waits for the caller here
        drainCaller(m_stream, m_router.clock(), yield);
    }
}

bool CallerSession::readHead(const Yield &yield)
{
    m_parser.emplace();
    const ErrorCode error = readCallerHead(m_stream, m_buffer, m_hold, *m_parser, callerLimits(), yield);
    if (!error) {
        return true;
    }
    m_keepOpen = false;
    rejectInput(problemOfHead(error, m_hold, m_buffer.size() > 0), yield);
    return false;
}

void CallerSession::rejectInput(const std::optional<InputProblem> &problem, const Yield &yield)
{
    m_hold.reduceTo(m_buffer.chargedBytes());
    m_buffer.shrink();
    if (!problem) {
        return;
    }
    if (problem->status == http::status::service_unavailable) {
        m_router.reportLimit(LimitCause::BudgetFull);
    }
    RouterAnswer answer;
    answer.detail = problem->detail;
    answer.retryAfter = problem->retryAfter;
    replyRouterAnswer(problem->status, answer, yield);
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
    if (refuseWithdrawn(request, yield)) {
        return;
    }
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
    if (rest.isStalled()) {
        m_router.reportLimit(LimitCause::Stalled);
    }
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
    const CallOrigin origin = originOf(m_router, metadata, *match.route, head, yield);
    request.inner = origin == CallOrigin::Upstream;
    request.mayBeInner = origin == CallOrigin::Unknown;
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
    request.service = route.parts.front().service;
    return refuseByKey(request, problem, yield);
}

bool CallerSession::refuseWithdrawn(const CallerRequest &request, const Yield &yield)
{
    return refuseByKey(request, checkKeyAgain(*m_router.view().config, m_parser->get(), request), yield);
}

bool CallerSession::refuseByKey(const CallerRequest &request, KeyProblem problem, const Yield &yield)
{
    if (request.keyRequired && !m_router.acceptsKeys()) {
        m_keepOpen = m_keepOpen && m_parser->is_done();
        replyRouterAnswer(http::status::service_unavailable, m_router.keyAdmission().refuse(), yield);
        return true;
    }
    if (problem == KeyProblem::None) {
        return false;
    }
    m_router.refusedKeys().add(problem, request.service, m_router.clock().now());
    const bool mayBeKnownLater = problem == KeyProblem::ParentUnknown;
    const auto status = mayBeKnownLater ? http::status::service_unavailable : http::status::unauthorized;
    replyProblem(status, describe(problem), yield);
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
    if (!m_router.isLimitedToStop() || !request.operation.empty()) {
        return false;
    }
    const LateRequest late = lateRequestOf(m_router, request);
    if (endsBeforeStop(late)) {
        return false;
    }
    m_keepOpen = false;
    DispatchResult result;
    result.answer.outcome = wire::Outcome::NotRun;
    result.answer.reason = wire::NotRunReason::Leaving;
    result.answer.detail = "the daemon is stopping and might not finish the request in time";
    result.retryAfter = std::max(MIN_LATE_RETRY_AFTER, late.untilStop);
    reply(request, std::move(result), startedAt, yield);
    return true;
}

bool CallerSession::readBody(CallerRequest &request, const Yield &yield)
{
    ErrorCode failure;
    if (!m_hold.take(REQUEST_BYTES, REQUEST_BYTES, yield)) {
        failure = asio::error::no_buffer_space;
    } else if (!m_parser->is_done()) {
        m_hold.setEvictable(true);
        try {
            bodyReader().readStart(request.body, m_router.settings().limits.bufferedBodyBytes, yield);
        } catch (const boost::system::system_error &error) {
            failure = error.code();
        }
        m_hold.setEvictable(false);
    }
    if (!failure) {
        return true;
    }
    request.body = {};
    m_keepOpen = m_keepOpen && m_parser->is_done() && !m_hold.isEvicted();
    rejectInput(problemOfBody(failure, m_hold), yield);
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

void CallerSession::watchCaller(const CallerRequest &request, Dispatch &dispatch)
{
    m_watch.reset();
    if (request.source) {
        return;
    }
    m_watch = std::make_unique<CallerWatch>(m_stream.socket(), [&request, &dispatch] {
        logEvent(Event::RequestLeft, {{"request", request.id}, {"service", request.service}});
        dispatch.leave();
    });
}

void CallerSession::stopWatching()
{
    m_watch.reset();
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
    recordResult(m_router, request, result, startedAt);
    if (request.source && !m_parser->is_done()) {
        m_keepOpen = false;
    }
    if (result.held) {
        m_router.reportHeld(request.service, request.workClass.name);
    }
    if (result.answer.outcome == wire::Outcome::Ran) {
        return replyRan(request, result, yield);
    }
    const RouterAnswer routerAnswer = routerAnswerOf(result);
    if (!result.overQuota) { // logged by organisation, as there may be many
        logRouterAnswer(m_router, request, routerAnswer, result, startedAt);
    }
    replyRouterAnswer(m_router.dialect().statusOf(routerAnswer), routerAnswer, yield);
}

void CallerSession::releaseMemory()
{
    m_buffer.shrink();
    m_hold.reduceTo(m_buffer.chargedBytes());
}

void CallerSession::replyRan(const CallerRequest &request, DispatchResult &result, const Yield &yield)
{
    const wire::AnswerT &answer = result.answer;
    http::response<http::buffer_body> response = responseHeadOf(answer, m_parser->get().version());
    m_router.dialect().setAnswerFields({result.upstream}, response);
    response.keep_alive(keepAlive());
    const bool isHead = m_parser->get().method() == http::verb::head;
    m_router.table().onAnswerSize(request.service, request.workClass.name, answerBytesOf(answer));
    if (answer.streamed) {
        const RegionByteCounter counter(m_router.metrics(), request.organisation, *result.channel,
                                        result.distance == Distance::OtherRegion);
        return replyStreamed(result, response, request.deadline, yield);
    }
    const bool bodyless = answer.status == 204 || answer.status == 304;
    if (!isHead && !bodyless) {
        response.content_length(answer.body.size());
    }
    if (isHead) {
        result.answer.body.clear();
    }
    writeAnswer(m_stream, m_hold, response, result.answer.body, yield);
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
        StreamedAnswer answer{result.answer.request, std::move(result.answer.body),
                              result.channel.get(),  deadline,
                              m_router.clock(),      m_hold};
        streamAnswer(m_stream, response, std::move(answer), yield);
        result.streamedRun.finish();
        m_keepOpen = m_keepOpen && response.keep_alive() && (lengthKnown || response.chunked());
    } catch (const std::exception &) {
        // A reset marks the answer as truncated even if its framing gives no length.
        logEvent(Event::AnswerDiscarded, {{"upstream", result.upstream}});
        resetConnection(m_stream);
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
    if (m_parser->get().method() == http::verb::head) {
        response.body().clear(); // the length of what a GET would get stays in the head
    }
    m_stream.expires_after(toDuration(CALLER_WRITE_TIMEOUT));
    ErrorCode error;
    http::async_write(m_stream, response, yield[error]);
    m_keepOpen = m_keepOpen && !error && response.keep_alive();
}

CallerBody CallerSession::bodyReader()
{
    const DaemonLimits &limits = m_router.settings().limits;
    return {m_stream,
            m_buffer,
            *m_parser,
            m_hold,
            {limits.callerIdleTimeout, limits.headBytes + MAX_READ_BUFFER_BYTES, limits.bodyMinBytesPerSecond,
             limits.bodyStallTime}};
}

bool CallerSession::keepAlive() const
{
    return m_keepOpen && m_parser->is_done() && m_parser->get().keep_alive() && !m_router.isLeaving();
}

} // namespace mustardpond
