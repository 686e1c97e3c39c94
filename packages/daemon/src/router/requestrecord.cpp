#include "requestrecord.h"

#include "foundation/events.h"
#include "httprules.h"
#include "router.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace mustardpond {

namespace {

constexpr Millis QUARANTINE_RETRY_AFTER{60000}; ///< for a request that crashes upstreams

} // namespace

LateRequest lateRequestOf(Router &router, const CallerRequest &request)
{
    const DispatchContext &context = router.dispatchContext();
    const Millis now = router.clock().now();
    LateRequest late;
    late.timeLeft = request.deadline - now;
    late.untilStop = *context.stopAt - now;
    late.serviceTime = router.table().classServiceTime(request.service, request.workClass.name);
    late.latencyTarget = request.workClass.latencyTarget;
    late.inner = request.inner;
    return late;
}

RouterAnswer routerAnswerOf(const DispatchResult &result)
{
    RouterAnswer answer{static_cast<Outcome>(result.answer.outcome),
                        static_cast<NotRunReason>(result.answer.reason),
                        result.answer.detail,
                        result.retryAfter,
                        result.timedOut,
                        result.overQuota};
    if (answer.reason == NotRunReason::Quarantined) {
        answer.retryAfter = QUARANTINE_RETRY_AFTER;
    }
    return answer;
}

http::response<http::buffer_body> responseHeadOf(const wire::AnswerT &answer, unsigned version)
{
    http::response<http::buffer_body> response;
    response.result(answer.status);
    response.version(version);
    for (const auto &header : answer.headers) {
        response.insert(header->name, header->value);
    }
    return response;
}

std::uint64_t answerBytesOf(const wire::AnswerT &answer)
{
    std::uint64_t bytes = answer.body.size();
    if (!answer.streamed) {
        return bytes;
    }
    for (const auto &header : answer.headers) {
        if (beast::iequals(header->name, to_string(http::field::content_length))) {
            const std::string &length = header->value;
            std::from_chars(length.data(), length.data() + length.size(), bytes);
        }
    }
    return bytes;
}

void recordResult(Router &router, const CallerRequest &request, const DispatchResult &result, Millis startedAt)
{
    const Millis now = router.clock().now();
    const Millis latency = now - startedAt;
    const auto outcome = static_cast<Outcome>(result.answer.outcome);
    router.metrics().addRequest(
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
    router.burn().add(finished, now);
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
                  {"config", router.view().config->newestVersion().revision}});
    }
}

void logRouterAnswer(Router &router, const CallerRequest &request, const RouterAnswer &answer,
                     const DispatchResult &result, Millis startedAt)
{
    logEvent(answer.outcome == Outcome::NotRun ? Event::RequestRefused : Event::RequestFailed,
             {{"request", request.id},
              {"service", request.service},
              {"class", request.workClass.name},
              {"inner", request.inner},
              {"upstream", result.upstream},
              {"asked", result.gatesAsked},
              {"config", router.view().config->newestVersion().revision},
              {"reason", nameOf(NOT_RUN_REASON_NAMES, answer.reason)},
              {"detail", answer.detail},
              {"afterMs", (router.clock().now() - startedAt).value},
              {"leftMs", (request.deadline - router.clock().now()).value},
              {"retryAfterMs", answer.retryAfter.value}});
}

} // namespace mustardpond
