/// Interface between a router and its detector of failing upstreams.
#pragma once

#include "foundation/clock.h"
#include "foundation/enumtable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardpond {

/// How one attempt at an upstream ended.
enum class AttemptResult : std::uint8_t {
    Answered, ///< a complete answer that is not an error of the upstream
    Failed, ///< an error answer, or a truncated one
    TimedOut, ///< no answer within the time given
    PathFailed, ///< the gate could not be reached; no evidence about the upstream itself
    Unjudged, ///< cancelled, shed or not run; no evidence either way
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

/// A detector decision that is reported to operators.
struct HealthChange {
    HealthChangeKind kind;
    std::string upstream;
    std::string workClass; ///< empty for a change that concerns all classes
    double score = 0;
    Millis ejectionTime; ///< how long an ejection lasts
};

/// Describes one attempt to the detector before it is sent.
struct AttemptStart {
    std::uint64_t attempt = 0; ///< unique among running attempts
    std::string upstream;
    std::string workClass;
    Millis latencyTarget;
    std::string organisation = {}; ///< on whose behalf; empty if not authenticated
};

/// The normal behaviour of one upstream's peers for a class of work, as measured by a router.
struct PeerBaseline {
    Millis slowThreshold; ///< a longer service time counts as bad
    double peerBadShare = 0; ///< share of bad outcomes among the peers
};

/// Evaluates the upstreams of one service from the attempts of one router. Not thread-safe.
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
    /// Forgets an attempt that was given up as its caller has left, which says nothing about the upstream or the path.
    virtual void onAbandoned(std::uint64_t /*attempt*/) { }
    /// Called when an upstream's gate, which sees the requests of all routers, suspects its upstream.
    virtual void onGateSuspicion(const std::string & /*upstream*/, const std::string & /*workClass*/, Millis /*now*/) {
    }
    /// Returns the baseline that is sent to the upstream's gate with a request.
    virtual PeerBaseline peerBaseline(const std::string & /*upstream*/, const std::string & /*workClass*/,
                                      Millis latencyTarget, Millis /*now*/) const
    {
        return {latencyTarget, 0};
    }
    /// Whether the upstream must serve although its gate suspects it, because ejecting it is not allowed: the capacity
    /// floor would be violated, or a shared cause suspends ejections.
    virtual bool mustServe(const std::string & /*upstream*/, const std::string & /*workClass*/) const
    {
        return false;
    }
    /// Checks running attempts and ends expired ejections. To be called every few tens of milliseconds.
    virtual std::vector<HealthChange> tick(Millis now) = 0;

    /// Returns the share of its normal load that an upstream should get for a class: 0 is ejected, 1 is healthy.
    virtual double weight(const std::string &upstream, const std::string &workClass, Millis now) const = 0;
};

} // namespace mustardpond
