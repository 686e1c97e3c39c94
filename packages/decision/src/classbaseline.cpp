#include "decision/classbaseline.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double MEMORY_OUTCOMES = 100; ///< of one upstream that weigh in its counts
constexpr double RECENT_PRIOR_OUTCOMES = 4;
constexpr Millis RECENT{250};
constexpr double PRIOR_OUTCOMES = 20; ///< good outcomes assumed before any were seen
constexpr double BAD_FACTOR = 4; ///< times the median
constexpr double LEAST_SHARE_OF_TARGET = 0.25;
constexpr double STEP = 0.05;
constexpr double FIRST_SAMPLES = 20;

double fading(Millis since, Millis now)
{
    return std::exp(-((now - since) / RECENT));
}

} // namespace

void ClassBaseline::addServiceTime(Millis serviceTime)
{
    m_samples += 1;
    if (m_samples <= FIRST_SAMPLES) {
        m_median += (serviceTime.value - m_median) / m_samples;
        return;
    }
    m_median *= serviceTime.value > m_median ? 1 + STEP : 1 - STEP;
}

void ClassBaseline::addOutcome(const std::string &upstream, bool bad, Millis now)
{
    Counts &counts = m_long.counts[upstream];
    m_long.total.bad -= counts.bad;
    m_long.total.all -= counts.all;
    const double keep = 1 - 1 / MEMORY_OUTCOMES;
    counts.bad = counts.bad * keep + (bad ? 1 : 0);
    counts.all = counts.all * keep + 1;
    m_long.total.bad += counts.bad;
    m_long.total.all += counts.all;
    Counts &recent = m_recent[upstream];
    const double faded = fading(recent.at, now);
    recent = {recent.bad * faded + (bad ? 1 : 0), recent.all * faded + 1, now};
}

void ClassBaseline::removeUpstream(const std::string &upstream)
{
    m_recent.erase(upstream);
    const auto found = m_long.counts.find(upstream);
    if (found == m_long.counts.end()) {
        return;
    }
    m_long.total.bad -= found->second.bad;
    m_long.total.all -= found->second.all;
    m_long.counts.erase(found);
}

double ClassBaseline::peerBadShare(const std::string &upstream, Millis now) const
{
    return std::max(longPeerShare(upstream), recentPeerShare(upstream, now));
}

double ClassBaseline::longPeerShare(const std::string &upstream) const
{
    Counts others = m_long.total;
    const auto found = m_long.counts.find(upstream);
    if (found != m_long.counts.end()) {
        others.bad -= found->second.bad;
        others.all -= found->second.all;
    }
    return std::max(0.0, others.bad) / (std::max(0.0, others.all) + PRIOR_OUTCOMES);
}

double ClassBaseline::recentPeerShare(const std::string &upstream, Millis now) const
{
    double bad = 0;
    double all = 0;
    for (const auto &[name, counts] : m_recent) {
        if (name != upstream) {
            const double faded = fading(counts.at, now);
            bad += counts.bad * faded;
            all += counts.all * faded;
        }
    }
    return bad / (all + RECENT_PRIOR_OUTCOMES);
}

Millis ClassBaseline::slowThreshold(Millis latencyTarget) const
{
    if (m_samples < FIRST_SAMPLES) {
        return latencyTarget;
    }
    const double limit = BAD_FACTOR * m_median;
    return Millis(std::clamp(limit, LEAST_SHARE_OF_TARGET * latencyTarget.value, latencyTarget.value));
}

} // namespace mustardpond
