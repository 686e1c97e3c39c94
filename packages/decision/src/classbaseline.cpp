#include "decision/classbaseline.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double LONG_TERM_OUTCOMES = 100; ///< decay constant of the long-term counts, in outcomes of one upstream
constexpr double RECENT_PRIOR_OUTCOMES = 4;
constexpr Millis RECENT_DECAY_TIME{250};
constexpr double PRIOR_OUTCOMES = 20; ///< good outcomes assumed before any is observed
constexpr double SLOW_FACTOR = 4; ///< times the median
constexpr double MIN_TARGET_RATIO = 0.25;
constexpr double MEDIAN_STEP_RATIO = 0.05;
constexpr double WARMUP_SAMPLES = 20;

double decayFactor(Millis since, Millis now)
{
    return std::exp(-((now - since) / RECENT_DECAY_TIME));
}

} // namespace

void ClassBaseline::addServiceTime(Millis serviceTime)
{
    m_samples += 1;
    if (m_samples <= WARMUP_SAMPLES) {
        m_median += (serviceTime.value - m_median) / m_samples;
        return;
    }
    m_median *= serviceTime.value > m_median ? 1 + MEDIAN_STEP_RATIO : 1 - MEDIAN_STEP_RATIO;
}

void ClassBaseline::addOutcome(const std::string &upstream, bool bad, Millis now)
{
    Counts &counts = m_longTerm.byUpstream[upstream];
    m_longTerm.total.bad -= counts.bad;
    m_longTerm.total.all -= counts.all;
    const double longTermDecay = 1 - 1 / LONG_TERM_OUTCOMES;
    counts.bad = counts.bad * longTermDecay + (bad ? 1 : 0);
    counts.all = counts.all * longTermDecay + 1;
    m_longTerm.total.bad += counts.bad;
    m_longTerm.total.all += counts.all;
    Counts &recent = m_recent[upstream];
    const double decay = decayFactor(recent.updatedAt, now);
    recent = {recent.bad * decay + (bad ? 1 : 0), recent.all * decay + 1, now};
}

void ClassBaseline::removeUpstream(const std::string &upstream)
{
    m_recent.erase(upstream);
    const auto found = m_longTerm.byUpstream.find(upstream);
    if (found == m_longTerm.byUpstream.end()) {
        return;
    }
    m_longTerm.total.bad -= found->second.bad;
    m_longTerm.total.all -= found->second.all;
    m_longTerm.byUpstream.erase(found);
}

double ClassBaseline::peerBadShare(const std::string &upstream, Millis now) const
{
    return std::max(longTermPeerBadShare(upstream), recentPeerBadShare(upstream, now));
}

double ClassBaseline::longTermPeerBadShare(const std::string &upstream) const
{
    Counts others = m_longTerm.total;
    const auto found = m_longTerm.byUpstream.find(upstream);
    if (found != m_longTerm.byUpstream.end()) {
        others.bad -= found->second.bad;
        others.all -= found->second.all;
    }
    return std::max(0.0, others.bad) / (std::max(0.0, others.all) + PRIOR_OUTCOMES);
}

double ClassBaseline::recentPeerBadShare(const std::string &upstream, Millis now) const
{
    double bad = 0;
    double all = 0;
    for (const auto &[name, counts] : m_recent) {
        if (name != upstream) {
            const double decay = decayFactor(counts.updatedAt, now);
            bad += counts.bad * decay;
            all += counts.all * decay;
        }
    }
    return bad / (all + RECENT_PRIOR_OUTCOMES);
}

Millis ClassBaseline::slowThreshold(Millis latencyTarget) const
{
    if (m_samples < WARMUP_SAMPLES) {
        return latencyTarget;
    }
    const double limit = SLOW_FACTOR * m_median;
    return Millis(std::clamp(limit, MIN_TARGET_RATIO * latencyTarget.value, latencyTarget.value));
}

} // namespace mustardpond
