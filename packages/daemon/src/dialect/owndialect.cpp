#include "owndialect.h"

#include "foundation/fieldreader.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>

namespace mustardpond {

namespace {

constexpr const char OPERATION_FIELD[] = "Operation-Id";
constexpr const char OUTCOME_FIELD[] = "Outcome";
constexpr const char ORGANISATION_FIELD[] = "Organisation";
constexpr const char DEADLINE_FIELD[] = "Deadline-Ms";
constexpr const char IDEMPOTENCY_FIELD[] = "Idempotency-Key";
constexpr double MS_PER_SECOND = 1000;
constexpr NumberRange SLOT_RANGE{1, 10000};

std::string textOf(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<Millis> parseMillis(beast::string_view text)
{
    std::int64_t milliseconds = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool valid = !text.empty() && result.ec == std::errc() && milliseconds > 0;
    return valid ? std::optional<Millis>(static_cast<double>(milliseconds)) : std::nullopt;
}

} // namespace

CallerMetadata OwnCallerDialect::read(const http::fields &head) const
{
    CallerMetadata metadata;
    metadata.organisation = textOf(head[ORGANISATION_FIELD]);
    metadata.operation = textOf(head[OPERATION_FIELD]);
    metadata.timeLeft = parseMillis(head[DEADLINE_FIELD]);
    if (!head[IDEMPOTENCY_FIELD].empty()) {
        metadata.problem =
            "Idempotency-Key is not supported: open an operation with POST /-/operations and send its id as "
            "Operation-Id";
    }
    return metadata;
}

bool OwnCallerDialect::isForRouter(beast::string_view name) const
{
    return beast::iequals(name, OPERATION_FIELD) || beast::iequals(name, DEADLINE_FIELD)
        || beast::iequals(name, OUTCOME_FIELD);
}

std::string OwnCallerDialect::callerField() const
{
    return {};
}

std::string OwnCallerDialect::organisationField() const
{
    return ORGANISATION_FIELD;
}

bool OwnCallerDialect::hasOperations() const
{
    return true;
}

http::status OwnCallerDialect::statusOf(const RouterAnswer &answer) const
{
    if (answer.overQuota) {
        return http::status::too_many_requests;
    }
    if (answer.outcome == Outcome::Unknown) {
        return http::status::gateway_timeout;
    }
    switch (answer.reason) {
    case NotRunReason::Mismatch:
        return http::status::conflict;
    case NotRunReason::Closed:
        return http::status::gone;
    case NotRunReason::Quarantined:
        return http::status::unprocessable_entity;
    default:
        return http::status::service_unavailable;
    }
}

void OwnCallerDialect::writeAnswer(const RouterAnswer &answer, http::response<http::string_body> &response) const
{
    const auto outcome = nameOf(OUTCOME_NAMES, answer.outcome);
    const auto reason = nameOf(NOT_RUN_REASON_NAMES, answer.reason);
    response.set(http::field::content_type, "application/json");
    if (response.result() == http::status::unauthorized) {
        response.set(http::field::www_authenticate, "Bearer");
    }
    response.set(OUTCOME_FIELD, beast::string_view(outcome.data(), outcome.size()));
    if (answer.overQuota) {
        const auto seconds = static_cast<std::int64_t>(std::ceil(answer.retryAfter.value / MS_PER_SECOND));
        response.set(http::field::retry_after, std::to_string(seconds));
    }
    const nlohmann::json document = {{"outcome", outcome}, {"reason", reason}, {"detail", answer.detail}};
    response.body() = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void OwnCallerDialect::setAnswerFields(const ServedBy &served, http::fields &head) const
{
    head.set(OUTCOME_FIELD, "ran");
    head.set("Served-By", served.upstream.empty() ? "operation" : served.upstream);
}

void OwnUpstreamDialect::setRequestFields(const UpstreamMetadata &metadata, http::fields &head) const
{
    head.set(DEADLINE_FIELD, std::to_string(static_cast<std::int64_t>(metadata.timeLeft.value)));
}

std::string OwnUpstreamDialect::requestIdOf(const http::fields & /*head*/) const
{
    return {}; // callers give no request ids
}

AnswerClassification OwnUpstreamDialect::classifyAnswer(const http::fields & /*request*/, unsigned /*status*/,
                                                        const http::fields & /*answer*/) const
{
    return {};
}

std::optional<Announcement> OwnAnnouncementDialect::read(const AnnouncementCall &call) const
{
    if (call.method != "POST" || call.target != "/announce") {
        return std::nullopt;
    }
    const nlohmann::json document = parseJson(call.body, "the announcement");
    FieldReader reader(document, "");
    Announcement announcement;
    announcement.id = reader.text("id");
    announcement.service = reader.text("service");
    announcement.address = parseEndpoint(reader.text("address"), "address");
    announcement.state = reader.choice("state", UPSTREAM_STATE_NAMES);
    announcement.slots = static_cast<std::uint32_t>(reader.number("slots", SLOT_RANGE));
    return announcement;
}

} // namespace mustardpond
