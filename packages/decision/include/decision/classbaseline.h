/// What is normal for one class of work at one service, over all of its upstreams.
#pragma once

#include "foundation/clock.h"

#include <string>
#include <unordered_map>

namespace mustardpond {

/// Running median of service times and the share of bad outcomes per upstream, with recent ones weighing more.
class ClassBaseline
{
public:
    void addServiceTime(Millis serviceTime);
    void addOutcome(const std::string &upstream, bool bad, Millis now);
    void removeUpstream(const std::string &upstream);

    /// Above this a service time counts as bad: well over the median, at most the target.
    Millis slowThreshold(Millis latencyTarget) const;
    /// Share of bad outcomes among the other upstreams.
    double peerBadShare(const std::string &upstream, Millis now) const;

private:
    /// Outcomes that weigh less the older they are.
    struct Counts {
        double bad = 0;
        double all = 0;
        Millis at;
    };
    /// Over a long time, by the number of outcomes.
    struct LongMemory {
        std::unordered_map<std::string, Counts> counts;
        Counts total;
    };

    double longPeerShare(const std::string &upstream) const;
    double recentPeerShare(const std::string &upstream, Millis now) const;

    LongMemory m_long;
    std::unordered_map<std::string, Counts> m_recent; ///< over a short time, which shows a sudden shared cause
    double m_median = 0;
    double m_samples = 0;
};

} // namespace mustardpond
