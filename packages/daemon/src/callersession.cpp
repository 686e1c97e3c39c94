#include "callersession.h"

#include "answerstream.h"

#include "foundation/bytes.h"
#include "foundation/errors.h"
#include "foundation/events.h"
#include "httprules.h"
#include "operationopener.h"
#include "regionbytes.h"
#include "router.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace mustardpond {

namespace {

constexpr const char OPERATIONS_PATH[] = "/-/operations";
constexpr const char OPERATION_FIELD[] = "Operation-Id";
constexpr const char OUTCOME_FIELD[] = "Outcome";
constexpr const char ORGANISATION_FIELD[] = "Organisation";
constexpr const char DEADLINE_FIELD[] = "Deadline-Ms";
constexpr const char IDEMPOTENCY_FIELD[] = "Idempotency-Key";
constexpr std::size_t PIECE_BYTES = 64 * KIB;
constexpr Millis WRITE_TIMEOUT{30000};
constexpr Millis DRAIN_TIME{500};
constexpr Millis OPEN_DEADLINE{5000};

bool isOwnField(const std::string &name)
{
    const beast::string_view text(name);
    return beast::iequals(text, OPERATION_FIELD) || beast::iequals(text, DEADLINE_FIELD)
        || beast::iequals(text, OUTCOME_FIELD);
}

http::status statusOf(const wire::AnswerT &answer)
{
    if (answer.outcome == wire::Outcome::Unknown) {
        return http::status::gateway_timeout;
    }
    switch (answer.reason) {
    case wire::NotRunReason::Mismatch:
        return http::status::conflict;
    case wire::NotRunReason::Closed:
        return http::status::gone;
    case wire::NotRunReason::Quarantined:
        return http::status::unprocessable_entity;
    default:
        return http::status::service_unavailable;
    }
}

struct Opening {
    std::string path;
    std::string method;
};

/// Reads the request that an operation is opened for. Returns nothing if it is malformed.
std::optional<Opening> parseOpening(const std::vector<std::uint8_t> &body)
{
    try {
        const auto document = nlohmann::json::parse(body.begin(), body.end());
        return Opening{document.at("path").get<std::string>(), document.value("method", "POST")};
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

void CallerSession::run(const Yield &yield)
{
    while (m_open && readHead(yield)) {
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
    std::vector<char> scratch(PIECE_BYTES);
    m_stream.expires_after(toDuration(DRAIN_TIME));
    while (!error) {
        m_stream.async_read_some(asio::buffer(scratch), yield[error]);
    }
}

bool CallerSession::readHead(const Yield &yield)
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_router.settings().limits.headBytes));
    m_parser->body_limit(UNLIMITED_BYTES);
    m_stream.expires_after(toDuration(m_router.settings().limits.callerIdle));
    ErrorCode error;
    http::async_read_header(m_stream, m_buffer, *m_parser, yield[error]);
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
    m_open = false;
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
    if (beast::iequals(head[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, head.version());
        m_stream.expires_after(toDuration(WRITE_TIMEOUT));
        http::async_write(m_stream, proceed, yield);
    }
    if (head.target() == OPERATIONS_PATH) {
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
    const auto asked = parseOpening(request.body);
    if (!asked) {
        return replyProblem(http::status::bad_request,
                            R"(send a JSON object such as {"path": "/muhur/seals", "method": "POST"})", yield);
    }
    if (!m_router.awaitConfiguration(OPEN_DEADLINE, yield)) {
        return replyProblem(http::status::service_unavailable, "no configuration has been received yet", yield);
    }
    const auto config = m_router.view().config;
    const RoutedWork work = config->route(asked->path, asked->method);
    if (!work.service) {
        return replyProblem(http::status::not_found, "no route for " + asked->method + " " + asked->path, yield);
    }
    request.service = work.service->name;
    request.workClass = *work.workClass;
    request.organisation = field(ORGANISATION_FIELD);
    if (refuse(request, yield)) {
        return;
    }
    request.deadline = m_router.clock().now() + OPEN_DEADLINE;
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
    m_stream.expires_never();
    Dispatch dispatch(m_router.dispatchContext(), request);
    DispatchResult result = dispatch.run(yield);
    reply(request, std::move(result), startedAt, yield);
}

bool CallerSession::classify(CallerRequest &request, const Yield &yield)
{
    const auto &head = m_parser->get();
    if (!field(IDEMPOTENCY_FIELD).empty()) {
        m_open = false;
        replyProblem(http::status::bad_request,
                     "Idempotency-Key is not supported: open an operation with POST /-/operations and send its id as "
                     "Operation-Id",
                     yield);
        return false;
    }
    if (!m_router.awaitConfiguration(OPEN_DEADLINE, yield)) {
        m_open = false;
        replyProblem(http::status::service_unavailable, "no configuration has been received yet", yield);
        return false;
    }
    const auto config = m_router.view().config;
    const RoutedWork work = config->route({head.target().data(), head.target().size()},
                                          {head.method_string().data(), head.method_string().size()});
    if (!work.service) {
        m_open = false;
        replyProblem(http::status::not_found, "no route for " + std::string(head.target()), yield);
        return false;
    }
    request.service = work.service->name;
    request.workClass = *work.workClass;
    request.organisation = field(ORGANISATION_FIELD);
    request.operation = field(OPERATION_FIELD);
    request.method = std::string(head.method_string());
    request.target = std::string(head.target());
    request.deadline = m_router.clock().now() + deadlineFor(request.workClass);
    takeHeaders(request);
    return true;
}

bool CallerSession::refuse(const CallerRequest &request, const Yield &yield)
{
    if (!request.operation.empty()) {
        return false;
    }
    const RefusalQuery query{request.service, request.workClass.name, m_router.settings().region,
                             m_router.random().unit()};
    const auto config = m_router.view().config;
    const ApprovedRefusal *refusal = findRefusal(config->refusals(), query, wallClockNow());
    if (!refusal) {
        return false;
    }
    m_open = m_open && m_parser->is_done();
    wire::AnswerT answer;
    answer.outcome = wire::Outcome::NotRun;
    answer.reason = wire::NotRunReason::Refused;
    answer.detail = "refused under " + refusal->id + ", approved by " + refusal->director;
    ServedRequest served;
    served.service = request.service;
    served.workClass = request.workClass.name;
    served.refused = true;
    m_router.burn().add(served, m_router.clock().now());
    replyOutcome(http::status::service_unavailable, answer, yield);
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
    m_open = false;
    const bool slow = failure == beast::error::timeout;
    replyProblem(slow ? http::status::request_timeout : http::status::bad_request,
                 slow ? "the body did not arrive in time: send it faster"
                      : "the body is incomplete (" + failure.message() + "): send it whole",
                 yield);
    return false;
}

void CallerSession::takeHeaders(CallerRequest &request) const
{
    for (const auto &entry : m_parser->get()) {
        const std::string name(entry.name_string());
        if (isHopByHop(entry.name()) || isOwnField(name)) {
            continue;
        }
        auto header = std::make_unique<wire::HeaderT>();
        header->name = name;
        header->value = std::string(entry.value());
        request.headers.push_back(std::move(header));
    }
}

void CallerSession::reply(const CallerRequest &request, DispatchResult result, Millis startedAt, const Yield &yield)
{
    record(request, result, startedAt);
    if (request.source && !m_parser->is_done()) {
        m_open = false;
    }
    if (result.held) {
        m_router.reportHeld(request.service, request.workClass.name);
    }
    if (result.answer.outcome == wire::Outcome::Ran) {
        return replyRan(request, result, yield);
    }
    replyOutcome(statusOf(result.answer), result.answer, yield);
}

void CallerSession::releaseBuffer()
{
    if (m_buffer.capacity() >= PIECE_BYTES) {
        m_buffer.shrink_to_fit();
    }
}

void CallerSession::record(const CallerRequest &request, const DispatchResult &result, Millis startedAt)
{
    const Millis now = m_router.clock().now();
    const Millis latency = now - startedAt;
    const auto outcome = static_cast<Outcome>(result.answer.outcome);
    m_router.metrics().addRequest(
        {request.service, request.workClass.name, outcome, latency, Millis(result.answer.upstreamMs)});
    ServedRequest served;
    served.service = request.service;
    served.workClass = request.workClass.name;
    served.upstream = result.upstream;
    const bool whole = outcome == Outcome::Ran && !isServerError(result.answer.status);
    served.good = whole && latency <= request.workClass.latencyTarget;
    served.retried = result.retried;
    served.spilled = result.spilled;
    served.held = result.held;
    m_router.burn().add(served, now);
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
    response.set(OUTCOME_FIELD, "ran");
    response.set("Served-By", result.upstream.empty() ? "operation" : result.upstream);
    response.keep_alive(keepAlive());
    const bool isHead = m_parser->get().method() == http::verb::head;
    if (answer.streamed) {
        const RegionBytes count(m_router.metrics(), request.organisation, *result.channel, result.spilled);
        return replyStreamed(result, response, yield);
    }
    const bool bodyless = answer.status == 204 || answer.status == 304;
    if (!isHead && !bodyless) {
        response.content_length(answer.body.size());
    }
    response.body().data = const_cast<std::uint8_t *>(answer.body.data());
    response.body().size = isHead ? 0 : answer.body.size();
    response.body().more = false;
    m_stream.expires_after(toDuration(WRITE_TIMEOUT));
    http::async_write(m_stream, response, yield);
    m_open = m_open && response.keep_alive();
}

void CallerSession::replyStreamed(DispatchResult &result, http::response<http::buffer_body> &response,
                                  const Yield &yield)
{
    const bool lengthKnown = response.has_content_length();
    if (!lengthKnown && response.version() >= 11) {
        response.chunked(true);
    }
    try {
        StreamedAnswer answer{result.answer.request, std::move(result.answer.body), result.channel.get()};
        streamAnswer(m_stream, response, std::move(answer), yield);
        m_open = m_open && response.keep_alive() && (lengthKnown || response.chunked());
    } catch (const std::exception &) {
        // A reset tells the caller that the answer is not whole, whatever its framing.
        logEvent(Event::AnswerDiscarded, {{"upstream", result.upstream}});
        ErrorCode ignored;
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_stream.socket().close(ignored);
        m_open = false;
    }
}

void CallerSession::replyProblem(http::status status, const std::string &detail, const Yield &yield)
{
    wire::AnswerT answer;
    answer.outcome = wire::Outcome::NotRun;
    answer.detail = detail;
    replyOutcome(status, answer, yield);
}

void CallerSession::replyOutcome(http::status status, const wire::AnswerT &answer, const Yield &yield)
{
    const auto outcome = nameOf(OUTCOME_NAMES, static_cast<Outcome>(answer.outcome));
    const auto reason = nameOf(NOT_RUN_REASON_NAMES, static_cast<NotRunReason>(answer.reason));
    http::response<http::string_body> response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.set(OUTCOME_FIELD, beast::string_view(outcome.data(), outcome.size()));
    const nlohmann::json document = {{"outcome", outcome}, {"reason", reason}, {"detail", answer.detail}};
    response.body() = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    replyText(response, yield);
}

void CallerSession::replyText(http::response<http::string_body> &response, const Yield &yield)
{
    response.keep_alive(keepAlive());
    response.prepare_payload();
    m_stream.expires_after(toDuration(WRITE_TIMEOUT));
    ErrorCode error;
    http::async_write(m_stream, response, yield[error]);
    m_open = m_open && !error && response.keep_alive();
}

CallerBody CallerSession::bodyReader()
{
    return {m_stream, m_buffer, *m_parser, m_router.settings().limits.callerIdle};
}

std::string CallerSession::field(const std::string &name) const
{
    return std::string(m_parser->get()[name]);
}

Millis CallerSession::deadlineFor(const WorkClass &workClass) const
{
    const std::string text = field(DEADLINE_FIELD);
    std::int64_t wanted = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), wanted);
    const bool valid = !text.empty() && result.ec == std::errc() && wanted > 0;
    const Millis asked(static_cast<double>(wanted));
    return valid ? Millis(std::min(asked.value, workClass.deadline.value)) : workClass.deadline;
}

bool CallerSession::keepAlive() const
{
    return m_open && m_parser->is_done() && m_parser->get().keep_alive() && !m_router.isLeaving();
}

} // namespace mustardpond
