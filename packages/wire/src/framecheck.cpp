#include "framecheck.h"

#include "foundation/errors.h"

#include <fmt/format.h>

namespace mustardpond {

namespace {

constexpr double MAX_DURATION_MS = 7.0 * 24 * 3600 * 1000;

void require(bool valid, const char *field)
{
    if (!valid) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_FIELD, field));
    }
}

template <typename Enum>
bool isValidEnum(Enum value)
{
    return value >= Enum::MIN && value <= Enum::MAX;
}

// Comparisons with NaN are false, so NaN is rejected.
bool isValidDuration(double milliseconds)
{
    return milliseconds >= 0 && milliseconds <= MAX_DURATION_MS;
}

void check(const wire::ProxyRequestT &request)
{
    require(isValidEnum(request.kind), "kind");
    require(isValidDuration(request.deadlineMs), "deadlineMs");
    require(isValidDuration(request.badAboveMs), "badAboveMs");
    require(request.peerBadShare >= 0 && request.peerBadShare <= 1, "peerBadShare");
}

void check(const wire::AnswerT &answer)
{
    constexpr int MIN_STATUS = 100;
    constexpr int MAX_STATUS = 999;
    const bool hasStatus = answer.status >= MIN_STATUS && answer.status <= MAX_STATUS;
    require(isValidEnum(answer.outcome), "outcome");
    require(isValidEnum(answer.reason), "reason");
    require(answer.outcome != wire::Outcome::Ran || hasStatus, "status");
    require(isValidDuration(answer.upstreamMs), "upstreamMs");
    require(isValidDuration(answer.queuedMs), "queuedMs");
}

/// Whether a number of tokens or a weight can be used in calculations.
bool isValidAmount(double amount)
{
    constexpr double MAX_AMOUNT = 1e9;
    return amount >= 0 && amount <= MAX_AMOUNT;
}

void check(const wire::GossipT &gossip)
{
    if (gossip.ack) {
        const double age = gossip.ack->proofAgeMs;
        require(age < 0 || isValidDuration(age), "ack.proofAgeMs");
    }
    for (const auto &member : gossip.members) {
        require(isValidEnum(member->state), "members.state");
        for (const auto &upstream : member->upstreams) {
            require(isValidEnum(upstream->state), "members.upstreams.state");
            require(upstream->slots > 0, "members.upstreams.slots");
        }
    }
}

} // namespace

void checkFrame(const wire::FrameT &frame)
{
    if (const auto *request = frame.body.AsProxyRequest()) {
        check(*request);
    } else if (const auto *answer = frame.body.AsAnswer()) {
        check(*answer);
    } else if (const auto *gossip = frame.body.AsGossip()) {
        check(*gossip);
    } else if (const auto *reserve = frame.body.AsReserve()) {
        require(isValidAmount(reserve->weight), "weight");
    } else if (const auto *reply = frame.body.AsQuotaReply()) {
        require(isValidDuration(reply->retryAfterMs), "retryAfterMs");
        require(reply->replacedMs < 0 || isValidDuration(reply->replacedMs), "replacedMs");
    } else if (const auto *borrow = frame.body.AsQuotaBorrow()) {
        require(isValidAmount(borrow->wanted), "wanted");
    } else if (const auto *loan = frame.body.AsQuotaLoan()) {
        require(isValidAmount(loan->tokens), "tokens");
    }
}

} // namespace mustardpond
