#include "framecheck.h"

#include "foundation/errors.h"

#include <fmt/format.h>

namespace mustardpond {

namespace {

constexpr double MAX_TIME_MS = 7.0 * 24 * 3600 * 1000;

void require(bool valid, const char *field)
{
    if (!valid) {
        throw BadFrame(fmt::format(ErrorMsg::FRAME_FIELD, field));
    }
}

template <typename Enum>
bool isKnown(Enum value)
{
    return value >= Enum::MIN && value <= Enum::MAX;
}

// Comparisons with a number that is none are false, so they reject it.
bool isTime(double milliseconds)
{
    return milliseconds >= 0 && milliseconds <= MAX_TIME_MS;
}

void check(const wire::ProxyRequestT &request)
{
    require(isKnown(request.kind), "kind");
    require(isTime(request.deadlineMs), "deadlineMs");
    require(isTime(request.badAboveMs), "badAboveMs");
    require(request.peerBadShare >= 0 && request.peerBadShare <= 1, "peerBadShare");
}

void check(const wire::AnswerT &answer)
{
    constexpr int LEAST_STATUS = 100;
    constexpr int GREATEST_STATUS = 999;
    const bool hasStatus = answer.status >= LEAST_STATUS && answer.status <= GREATEST_STATUS;
    require(isKnown(answer.outcome), "outcome");
    require(isKnown(answer.reason), "reason");
    require(answer.outcome != wire::Outcome::Ran || hasStatus, "status");
    require(isTime(answer.upstreamMs), "upstreamMs");
    require(isTime(answer.queuedMs), "queuedMs");
}

void check(const wire::GossipT &gossip)
{
    for (const auto &member : gossip.members) {
        require(isKnown(member->state), "members.state");
        for (const auto &upstream : member->upstreams) {
            require(isKnown(upstream->state), "members.upstreams.state");
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
    }
}

} // namespace mustardpond
