/// What the router derives from a request and its result: counts, log lines, its own answers.
#pragma once

#include "callerdialect.h"
#include "decision/stopadmission.h"
#include "dispatch.h"

namespace mustardpond {

class Router;

/// Describes a request that arrives during a planned stop.
LateRequest lateRequestOf(Router &router, const CallerRequest &request);
/// Returns what the caller is told of a request without an upstream's answer.
RouterAnswer routerAnswerOf(const DispatchResult &result);
http::response<http::buffer_body> responseHeadOf(const wire::AnswerT &answer, unsigned version);

/// Returns the size of an answer's body as far as it is known.
std::uint64_t answerBytesOf(const wire::AnswerT &answer);

/// Enters the result of a request into metrics and burn, and logs an upstream's answer.
void recordResult(Router &router, const CallerRequest &request, const DispatchResult &result, Millis startedAt);
/// Logs an answer that the router itself gives.
void logRouterAnswer(Router &router, const CallerRequest &request, const RouterAnswer &answer,
                     const DispatchResult &result, Millis startedAt);

} // namespace mustardpond
