#include "quotaadmission.h"

namespace mustardpond {

namespace {

bool isLimited(const QuotaClient *quota, const CallerRequest &request)
{
    return quota && !request.inner && request.authenticated && request.authenticated->ratePerSecond > 0;
}

} // namespace

std::optional<DispatchResult> refuseByQuota(QuotaClient *quota, const CallerRequest &request, const Yield &yield)
{
    if (!isLimited(quota, request)) {
        return std::nullopt;
    }
    const QuotaDecision decision = quota->take(*request.authenticated, yield);
    if (decision.result == QuotaResult::Granted) {
        return std::nullopt;
    }
    DispatchResult result;
    result.answer.outcome = wire::Outcome::NotRun;
    result.retryAfter = decision.retryAfter;
    result.overQuota = decision.result == QuotaResult::OverLimit;
    result.answer.detail = result.overQuota ? "the organisation is over its limit: send fewer requests"
                                            : "the organisation's limit cannot be checked at the moment: try again";
    return result;
}

void settleQuota(QuotaClient *quota, const CallerRequest &request, const DispatchResult &result)
{
    if (isLimited(quota, request) && result.answer.outcome == wire::Outcome::NotRun) {
        quota->giveBack(request.authenticated->name);
    }
}

} // namespace mustardpond
