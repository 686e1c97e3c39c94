#include "decision/quotabucket.h"

#include <algorithm>
#include <cmath>

namespace mustardpond {

namespace {

constexpr double MS_PER_SECOND = 1000;
constexpr double CAPACITY_RATIO = 0.5; ///< of the tolerance
constexpr double ROUNDING_ERROR = 1e-9; ///< of sums of fractional tokens

} // namespace

QuotaShare quotaShareOf(const Organisation &organisation, const QuotaTolerance &tolerance)
{
    const double refillPerMs = organisation.ratePerSecond / MS_PER_SECOND;
    const double limit = refillPerMs * tolerance.window.value + organisation.burst;
    const double excess = tolerance.overage * limit + tolerance.slack;
    const double capacity = std::max(1.0, organisation.burst + CAPACITY_RATIO * excess);
    return {refillPerMs / tolerance.dataCentres, capacity / tolerance.dataCentres};
}

QuotaBucket::QuotaBucket(QuotaShare share, Millis emptySince, Millis now)
    : m_share(share)
    , m_updatedAt(emptySince)
{
    refill(now);
}

void QuotaBucket::setShare(QuotaShare share, Millis now)
{
    refill(now);
    m_share = share;
    m_level = std::min(m_level, m_share.capacity);
}

unsigned QuotaBucket::take(unsigned count, Millis now)
{
    refill(now);
    const double taken = std::min<double>(count, std::floor(m_level + ROUNDING_ERROR));
    m_level = std::max(0.0, m_level - taken);
    return static_cast<unsigned>(taken);
}

double QuotaBucket::lend(double wanted, double reserve, Millis now)
{
    refill(now);
    const double lent = std::clamp(m_level - reserve, 0.0, wanted);
    m_level -= lent;
    return lent;
}

void QuotaBucket::giveBack(double tokens, Millis now)
{
    deposit(tokens, 0, now);
}

void QuotaBucket::deposit(double tokens, unsigned waiting, Millis now)
{
    refill(now);
    const double bound = std::max(m_share.capacity, static_cast<double>(waiting));
    m_level = std::max(m_level, std::min(m_level + tokens, bound));
}

double QuotaBucket::level(Millis now) const
{
    const double added = std::max(0.0, (now - m_updatedAt).value) * m_share.refillPerMs;
    return std::max(m_level, std::min(m_level + added, m_share.capacity));
}

void QuotaBucket::refill(Millis now)
{
    m_level = level(now);
    m_updatedAt = std::max(m_updatedAt, now);
}

} // namespace mustardpond
