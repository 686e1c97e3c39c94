/// Detection of failing upstreams: what a router tells a detector, and what it learns from it.
#pragma once

#include "foundation/clock.h"
#include "foundation/enumtable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardpond {

/// How one attempt at an upstream ended.
enum class AttemptResult : std::uint8_t {
    Answered, ///< a whole answer that is not an error of the upstream
    Failed, ///< an error answer, or an answer cut off
    TimedOut, ///< no answer within the time given
    PathFailed, ///< the gate could not be reached; says nothing of the upstream itself
    Unjudged, ///< cancelled, shed or not run; says nothing
};

constexpr EnumTable<AttemptResult, 5> ATTEMPT_RESULT_NAMES = {{
    {AttemptResult::Answered, "answered"},
    {AttemptResult::Failed, "failed"},
    {AttemptResult::TimedOut, "timed-out"},
    {AttemptResult::PathFailed, "path-failed"},
    {AttemptResult::Unjudged, "unjudged"},
}};

enum class HealthChangeKind : std::uint8_t { Ejected, Returned, HeldByFloor, SharedCause };

constexpr EnumTable<HealthChangeKind, 4> HEALTH_CHANGE_KIND_NAMES = {{
    {HealthChangeKind::Ejected, "ejected"},
    {HealthChangeKind::Returned, "returned"},
    {HealthChangeKind::HeldByFloor, "held-by-floor"},
    {HealthChangeKind::SharedCause, "shared-cause"},
}};

/// A decision that operators should see.
struct HealthChange {
    HealthChangeKind kind;
    std::string upstream;
    std::string workClass; ///< empty for a change that concerns all classes
    double score = 0;
    Millis ejectionTime; ///< how long an ejection lasts
};

/// One attempt, as told to the detector before it is sent.
struct AttemptStart {
    std::uint64_t attempt = 0; ///< unique among running attempts
    std::string upstream;
    std::string workClass;
    Millis latencyTarget;
};

/// What a router finds normal for a class of work at the peers of one upstream.
struct PeerBaseline {
    Millis slowThreshold; ///< a longer service time counts as bad
    double peerBadShare = 0; ///< share of bad outcomes among the peers
};

/// Judges the upstreams of one service from the attempts of one router. Not thread-safe.
class Detector
{
public:
    virtual ~Detector() = default;

    /// Adds an upstream, or changes its capacity in slots.
    virtual void setUpstream(const std::string &upstream, double slots) = 0;
    virtual void removeUpstream(const std::string &upstream) = 0;
    /// Share of the service's slots that must stay in use, in [0, 1].
    virtual void setFloor(double floor) = 0;

    virtual void onStart(const AttemptStart &start, Millis now) = 0;
    /// @param serviceTime time the upstream itself took, without queueing and network
    virtual void onFinish(std::uint64_t attempt, AttemptResult result, Millis serviceTime, Millis now) = 0;
    /// Takes over the word of an upstream's gate, which sees the requests of all routers.
    virtual void onGateSuspicion(const std::string & /*upstream*/, const std::string & /*workClass*/, Millis /*now*/) {
    }
    /// What to tell the gate of an upstream with a request.
    virtual PeerBaseline peerBaseline(const std::string & /*upstream*/, const std::string & /*workClass*/,
                                      Millis latencyTarget, Millis /*now*/) const
    {
        return {latencyTarget, 0};
    }
    /// Whether the upstream has to serve although its gate suspects it, since the floor leaves no other.
    virtual bool mustServe(const std::string & /*upstream*/, const std::string & /*workClass*/) const
    {
        return false;
    }
    /// Looks at running attempts and expiring holds. To be called every few tens of milliseconds.
    virtual std::vector<HealthChange> tick(Millis now) = 0;

    /// Share of its normal load that an upstream should get for a class: 0 is ejected, 1 is healthy.
    virtual double weight(const std::string &upstream, const std::string &workClass, Millis now) const = 0;
};

} // namespace mustardpond
