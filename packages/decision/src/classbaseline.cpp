#include "decision/classbaseline.h"

#include <algorithm>

namespace mustardpond {

namespace {

constexpr double MEMORY_OUTCOMES = 100; ///< outcomes of an upstream that weigh in its share
constexpr double PRIOR_OUTCOMES = 20; ///< good outcomes assumed before any were seen
constexpr double BAD_FACTOR = 4; ///< times the median
constexpr double LEAST_SHARE_OF_TARGET = 0.25;
constexpr double STEP = 0.05;
constexpr double FIRST_SAMPLES = 20;

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

void ClassBaseline::addOutcome(const std::string &upstream, bool bad)
{
    Counts &counts = m_counts[upstream];
    m_total.bad -= counts.bad;
    m_total.all -= counts.all;
    const double keep = 1 - 1 / MEMORY_OUTCOMES;
    counts.bad = counts.bad * keep + (bad ? 1 : 0);
    counts.all = counts.all * keep + 1;
    m_total.bad += counts.bad;
    m_total.all += counts.all;
}

void ClassBaseline::removeUpstream(const std::string &upstream)
{
    const auto found = m_counts.find(upstream);
    if (found == m_counts.end()) {
        return;
    }
    m_total.bad -= found->second.bad;
    m_total.all -= found->second.all;
    m_counts.erase(found);
}

Millis ClassBaseline::badAbove(Millis latencyTarget) const
{
    if (m_samples < FIRST_SAMPLES) {
        return latencyTarget;
    }
    const double limit = BAD_FACTOR * m_median;
    return Millis(std::clamp(limit, LEAST_SHARE_OF_TARGET * latencyTarget.value, latencyTarget.value));
}

double ClassBaseline::peerBadShare(const std::string &upstream) const
{
    Counts others = m_total;
    const auto found = m_counts.find(upstream);
    if (found != m_counts.end()) {
        others.bad -= found->second.bad;
        others.all -= found->second.all;
    }
    return std::max(0.0, others.bad) / (std::max(0.0, others.all) + PRIOR_OUTCOMES);
}

double ClassBaseline::badShare(const std::string &upstream) const
{
    const auto found = m_counts.find(upstream);
    return found == m_counts.end() ? 0 : found->second.bad / (found->second.all + 1);
}

} // namespace mustardpond
