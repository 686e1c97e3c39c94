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
    void addOutcome(const std::string &upstream, bool bad);
    void removeUpstream(const std::string &upstream);

    /// Above this a service time counts as bad: well over the median, at most the target.
    Millis badAbove(Millis latencyTarget) const;
    /// Share of bad outcomes among the other upstreams.
    double peerBadShare(const std::string &upstream) const;
    /// Recent share of bad outcomes of one upstream.
    double badShare(const std::string &upstream) const;

private:
    struct Counts {
        double bad = 0;
        double all = 0;
    };
    std::unordered_map<std::string, Counts> m_counts;
    Counts m_total;
    double m_median = 0;
    double m_samples = 0;
};

} // namespace mustardpond
