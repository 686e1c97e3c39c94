/// Normal service time and failure share of one class of work, over all upstreams of a service.
#pragma once

#include "foundation/clock.h"

#include <string>
#include <unordered_map>

namespace mustardpond {

/// Running median of service times, and the share of bad outcomes per upstream with exponential decay.
class ClassBaseline
{
public:
    void addServiceTime(Millis serviceTime);
    void addOutcome(const std::string &upstream, bool bad, Millis now);
    void removeUpstream(const std::string &upstream);

    /// Returns the service time above which an answer counts as bad: a multiple of the median, at most the target.
    Millis slowThreshold(Millis latencyTarget) const;
    /// Returns the share of bad outcomes among the other upstreams.
    double peerBadShare(const std::string &upstream, Millis now) const;

private:
    /// Exponentially decayed outcome counts.
    struct Counts {
        double bad = 0;
        double all = 0;
        Millis updatedAt;
    };
    /// Counts that decay per outcome.
    struct LongTermCounts {
        std::unordered_map<std::string, Counts> byUpstream;
        Counts total;
    };

    double longTermPeerBadShare(const std::string &upstream) const;
    double recentPeerBadShare(const std::string &upstream, Millis now) const;

    LongTermCounts m_longTerm;
    std::unordered_map<std::string, Counts> m_recent; ///< decays with time, to show a sudden shared cause
    double m_median = 0;
    double m_samples = 0;
};

} // namespace mustardpond
